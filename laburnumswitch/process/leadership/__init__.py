"""Which entry owns the dispatching of tasks, and how the others reach it."""
