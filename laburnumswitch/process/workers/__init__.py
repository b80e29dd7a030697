"""Workers and their runs: orders, reports, leases and last known state.

Used by the daemon in ``entry.py``. The state of upstreams is kept here too, for its request path.
"""
