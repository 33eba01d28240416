"""The site's state service: the model, its record on disk, and its HTTP side."""
