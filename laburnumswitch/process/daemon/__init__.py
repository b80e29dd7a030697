"""Process-level parts of the daemons.

The entry daemon (``entry.py``) uses ``settings``, ``readiness`` and ``stop_event``; the dispatch
daemon (``dispatch_entry.py``) uses ``deployment`` and ``supervision``.
"""
