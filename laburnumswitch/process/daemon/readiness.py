"""Readiness of an entry, by which the load balancer decides whether to send callers to it."""

from collections.abc import Callable
from typing import NamedTuple

from laburnumswitch.declaration import Configuration
from laburnumswitch.upstream import Upstream

# Longest wait for the upstreams of the services, in seconds.
UPSTREAMS_WAIT_LIMIT_S = 5.0


class ReadinessInputs(NamedTuple):
    """Inputs of the readiness check. ``clock`` is monotonic, in seconds."""

    is_leaving: Callable[[], bool]
    configuration: Callable[[], Configuration]
    upstreams_of: Callable[[str], tuple[Upstream, ...]]
    clock: Callable[[], float]


class Readiness:
    """Readiness check of an entry.

    Before it is ready for the first time, an entry waits until each service with replicas has a
    known upstream. The wait is limited, because the replicas may be unable to start.
    """

    def __init__(self, inputs: ReadinessInputs) -> None:
        self._inputs = inputs
        self._wait_until_s: float | None = None
        self._was_ready = False

    def unready_reason(self) -> str:
        """Return why the entry is not ready, or an empty string."""
        if self._inputs.is_leaving():
            return "stopping"
        if self._inputs.configuration().version == 0:
            return "no configuration"
        if not self._was_ready and self._is_waiting_for_upstreams():
            return "upstreams not known yet"
        self._was_ready = True
        return ""

    def _is_waiting_for_upstreams(self) -> bool:
        now_s = self._inputs.clock()
        if self._wait_until_s is None:
            self._wait_until_s = now_s + UPSTREAMS_WAIT_LIMIT_S
        if now_s >= self._wait_until_s:
            return False
        services = self._inputs.configuration().services
        return any(
            service.replicas > 0 and not self._inputs.upstreams_of(service.name)
            for service in services
        )
