"""Operator interface: the admin port, operators' instructions, zone states and views.

Both daemons use ``admin``; ``operations`` belongs to the dispatch daemon (``dispatch_entry.py``),
the other modules to the entry daemon (``entry.py``).
"""
