"""Several machines that fail, in one process and in simulated time, from a seed."""
