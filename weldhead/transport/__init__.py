"""Connections: HTTP servers and clients, peer links, budgets and timeouts."""
