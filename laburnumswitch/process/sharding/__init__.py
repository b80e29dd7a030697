"""The owner of shards: one task for each shard, and what they share."""
