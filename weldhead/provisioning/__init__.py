"""When machines that boot can be counted on, and when they are given up."""
