"""One process: its settings, readiness, stop and place in a deployment."""
