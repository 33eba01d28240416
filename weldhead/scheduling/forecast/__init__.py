"""How long tasks run and when jobs finish."""
