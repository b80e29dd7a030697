"""Ownership of shards by entries: one greenlet for each owned shard, and their shared context.

Used by the daemon in ``entry.py``.
"""
