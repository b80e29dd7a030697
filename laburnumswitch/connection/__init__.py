"""HTTP connections: servers, clients, parsing and TLS."""
