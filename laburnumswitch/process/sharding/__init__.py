"""Shard ownership: one task for each owned shard, and the state that the shards share."""
