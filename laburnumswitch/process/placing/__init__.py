"""Scheduling policies of a shard: placement, interference relief, quarantine and quotas."""
