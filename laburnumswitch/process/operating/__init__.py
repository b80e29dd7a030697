"""What operators ask for and are told."""
