"""Persistent state of a shard: head row, journal, snapshots and inbox.

Used by the daemon in ``entry.py``, where several entries each own shards.
"""
