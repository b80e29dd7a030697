"""Admission of declared jobs and services, and completion of jobs.

Used by the daemon in ``entry.py``. ``claim_committer`` serves its request path.
"""
