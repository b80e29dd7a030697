"""Peer entries and the VM list: liveness, heartbeats and shared hints."""
