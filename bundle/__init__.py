"""Builds the single-file executable."""
