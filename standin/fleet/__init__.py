"""Emulator of the users' platform: its store and workers, with an invariant checker."""
