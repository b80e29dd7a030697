"""Process-level parts of the daemon: settings, deployment, readiness, supervision, stop."""
