"""Reading, publishing and adopting versions of the configuration."""
