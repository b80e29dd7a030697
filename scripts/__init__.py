"""Demonstration and measurement scripts, with the process launcher that they share."""
