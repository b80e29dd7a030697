"""Workers and their runs: orders, reports, leases and what is believed of them."""
