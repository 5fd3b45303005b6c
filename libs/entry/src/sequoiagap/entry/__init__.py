"""The process on each entry host."""
