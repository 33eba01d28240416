"""Who leads: candidacy, the leader's term and its start, and the other controllers."""
