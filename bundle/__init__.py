"""Builds the one-file program."""
