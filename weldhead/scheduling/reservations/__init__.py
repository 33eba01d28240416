"""Machines reserved for tasks that find no capacity between small ones."""
