"""Randomized soak: real entries on loopback over the emulated platform, and faults from outside."""
