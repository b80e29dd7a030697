"""Observability: metrics of both daemons, and their records of events.

The entry daemon (``entry.py``) records events on the timeline and logs through absl; the dispatch
daemon (``dispatch_entry.py``) writes the decision log.
"""
