"""Scheduler of the dispatch daemon (``dispatch_entry``): job state, task placement, persistence.

A single owner schedules all jobs, and the workers' reports are its record of what runs. The other
daemon (``entry``) divides the work among the owners of shards; see ``process.ledger``.
"""
