"""What workers report and are told, and which of them can be reached."""
