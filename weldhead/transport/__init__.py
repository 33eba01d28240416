"""Network communication: HTTP servers and clients, peer links, and rate limits."""
