"""Emulator of the platform that ``dispatch_entry.py`` uses: store, workers, invariant checker."""
