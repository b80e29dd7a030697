"""Stand-ins for the platform, its workers, upstreams and callers, and checks of their records."""
