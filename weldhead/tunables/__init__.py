"""The operators' settings (tunables): their defaults, and a small language to change them."""
