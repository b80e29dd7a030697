"""Scheduler and request router for latency-critical services and batch work on shared VMs."""

__version__ = "0.1.0"
