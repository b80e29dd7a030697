"""Randomized soak test: entry processes on an emulated platform, under injected faults."""
