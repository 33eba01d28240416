"""Leader election, the leader's term and its recovery, and contact with the other controllers."""
