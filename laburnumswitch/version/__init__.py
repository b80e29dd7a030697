"""Versions of the configuration: reading declaration files, publishing and adopting them."""
