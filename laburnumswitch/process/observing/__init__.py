"""Observability: metrics, timeline events, logs and the decision log."""
