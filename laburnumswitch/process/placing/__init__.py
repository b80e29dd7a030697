"""Scheduling policies of a shard: placement, interference relief, quarantine and quotas.

Used by the daemon in ``entry.py``, whose request path also takes its retry budget and its queues
from here. The other daemon, in ``dispatch_entry.py``, uses only ``quarantine``.
"""
