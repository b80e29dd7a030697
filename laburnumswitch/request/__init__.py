"""Handling of callers' requests.

``job_api`` and ``job_server`` belong to the dispatch daemon (``dispatch_entry.py``). The other
modules are the proxy of the entry daemon (``entry.py``): routing, delivery and idempotency keys.
"""
