"""Persistent state of a shard: head row, journal, snapshots and inbox."""
