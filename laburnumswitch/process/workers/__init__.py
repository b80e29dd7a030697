"""Workers and their runs: orders, reports, leases and last known state."""
