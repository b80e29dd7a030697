"""Which jobs that become known after the load an earlier owner may have started.

Handles owners that are taken for lost and go on: one that is cut off with its availability zone, or
frozen for a while, starts the jobs that it is told of or reads from the feed, on workers that its
successor has not reached. Each was stored before that owner ended, but may be read later. So until
the successor knows all jobs that were stored by then, one that becomes known may have runs.
"""

from gevent.event import Event


class LateJobs:
    """Whether jobs that become known now may have runs of an earlier owner.

    :ivar may_be_started: whether one may go on, or has not ended before all known jobs were read.
    :ivar predecessor_ended: set once all earlier owners have certainly ended.
    """

    def __init__(self) -> None:
        self.may_be_started = False
        self.predecessor_ended = Event()

    def note_read(self) -> None:
        """Record that a read is about to be sent that returns all jobs stored so far."""
        if self.predecessor_ended.is_set():
            self.may_be_started = False
