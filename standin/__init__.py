"""Stand-ins for the platform, its workers and upstreams, and the load and experiment tool."""
