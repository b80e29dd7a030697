"""Peers of an entry of the entry daemon (``entry.py``), and the platform's list of VMs."""
