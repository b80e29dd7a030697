"""Which ended runs of a worker wait for a commit before they are acknowledged.

What is acknowledged is forgotten by the worker, so an end that could not be applied is not.
"""

import sys

from laburnumswitch.process.dispatch.fleet import Worker

# Stands for the batch of an ended run that waits for its job.
NOT_COMMITTED = sys.maxsize


def keep_unacknowledged(worker: Worker, number: int) -> None:
    """Do not acknowledge an ended run in this term."""
    entry = (NOT_COMMITTED, number)
    pending = [each for each in worker.pending_acknowledgements if each[1] != number]
    worker.pending_acknowledgements = [*pending, entry]
