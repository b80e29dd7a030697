"""Metrics, events, logs and decisions, for people."""
