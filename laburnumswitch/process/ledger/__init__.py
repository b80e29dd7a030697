"""The stored state of a shard: its head, journal, snapshots, and what moves between shards."""
