"""Machines reserved for wide tasks, which need a large part of one machine."""
