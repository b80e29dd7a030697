"""From a declaration to tasks, and from their ends to the end of a job."""
