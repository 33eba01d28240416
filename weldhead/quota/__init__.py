"""What teams are guaranteed, may take and take, by resource; pure functions of a snapshot."""
