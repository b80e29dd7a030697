"""Scheduling of submitted jobs: job state, task placement, and persistence."""
