"""Composition root of the entry daemon."""
