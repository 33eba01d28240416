"""Which submissions are taken when more come than the store can hold."""
