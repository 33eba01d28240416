"""The site's state service: the key-value store with leases, and its HTTP interface."""
