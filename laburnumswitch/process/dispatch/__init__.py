"""Jobs that callers submit: what is known of them, where their tasks run, and what is stored."""
