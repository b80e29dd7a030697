"""Decisions of a shard: what starts where, what is relieved, and who may use how much."""
