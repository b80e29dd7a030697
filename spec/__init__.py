"""Specification of the core protocol for the model checker."""
