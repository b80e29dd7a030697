"""Exchange of state with peer entries, and the platform's list of VMs.

Part of the entry daemon (``entry.py``).
"""
