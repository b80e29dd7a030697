"""Models of the core protocols for the model checker."""
