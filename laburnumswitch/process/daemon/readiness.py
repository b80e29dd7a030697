"""Whether the balancer is to send callers to this entry."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumswitch.declaration import Configuration
from laburnumswitch.upstream import Upstream

UPSTREAMS_WAIT_LIMIT_S = 5.0


class ReadinessView(NamedTuple):
    """What readiness is judged by. ``clock`` is monotonic, in seconds."""

    is_leaving: Callable[[], bool]
    configuration: Callable[[], Configuration]
    upstreams_of: Callable[[str], tuple[Upstream, ...]]
    clock: Callable[[], float]


class Readiness:
    """Remembers that a fresh entry has learned the upstreams, which it waits for only once.

    A service may have no replica at all, so the wait has a limit.
    """

    def __init__(self, view: ReadinessView) -> None:
        self._view = view
        self._wait_until_s: float | None = None
        self._has_learned = False

    def unready_reason(self) -> str:
        """Return why callers are to be sent elsewhere, or nothing."""
        if self._view.is_leaving():
            return "stopping"
        if self._view.configuration().version == 0:
            return "no configuration"
        if not self._has_learned and self._is_waiting():
            return "upstreams not known yet"
        self._has_learned = True
        return ""

    def _is_waiting(self) -> bool:
        now_s = self._view.clock()
        if self._wait_until_s is None:
            self._wait_until_s = now_s + UPSTREAMS_WAIT_LIMIT_S
        if now_s >= self._wait_until_s:
            return False
        services = self._view.configuration().services
        return any(
            service.replicas > 0 and not self._view.upstreams_of(service.name)
            for service in services
        )
