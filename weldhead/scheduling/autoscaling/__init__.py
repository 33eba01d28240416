"""How many machines there should be: scale out, scale in and consolidation."""
