"""Stand-ins for the platform, its workers, upstreams and callers, and checks of their records.

The modules here serve the daemon of ``entry.py``; ``fleet`` serves that of ``dispatch_entry.py``.
"""
