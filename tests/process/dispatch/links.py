"""Links of owners to emulated workers that can be cut, for tests of owners that reach some only."""

from gevent import sleep

from laburnumswitch.exceptions import AnswerLost


class CutLink:
    """Link to an emulated worker that answers nothing while ``is_cut``."""

    def __init__(self, worker, is_cut=True):
        self.worker = worker
        self.is_cut = is_cut

    def renew(self, renewal, timeout_s):
        return self._call(self.worker.renew, renewal, timeout_s)

    def start(self, command, timeout_s):
        return self._call(self.worker.start, command, timeout_s)

    def stop(self, task, run, fence, timeout_s):
        return self._call(self.worker.stop, task, run, fence, timeout_s)

    def throttle(self, task, run, percent, fence, timeout_s):
        return self._call(self.worker.throttle, task, run, percent, fence, timeout_s)

    def close(self):
        """Do nothing, as there are no connections."""

    def _call(self, call, *arguments):
        if self.is_cut:
            sleep(min(0.1, arguments[-1]))
            return AnswerLost(self.worker.listing.worker_id, "cut off")
        return call(*arguments)
