"""Emulator of the users' platform: store, operators' rows and workers, with a judge of what ran."""
