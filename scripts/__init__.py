"""Launcher of the demonstration and of the measurements."""
