"""Routes that are added and removed in quick succession, and the check of calls for them."""

from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Any

from gevent import sleep

from laburnumswitch.connection.client import Client
from laburnumswitch.exceptions import Failure
from standin.fleet.invariant_checker import Violation

# As in the settings of the entries: later than this after its addition, in seconds, no entry may
# say that there is no such route, whatever it reaches.
APPLY_S = 3.0
# Difference allowed between the clocks of the check and of an entry's answer, in seconds.
TOLERANCE_S = 0.1
# Routes that stay, so that a version takes time over a narrow link.
LASTING_ROUTES = 300
MAX_CHANGING_ROUTES = 30
CHANGE_PAUSE_S = (0.1, 1.0)
CALL_PAUSE_S = 0.05
CALL_TIMEOUT_S = 2.0
HOST = "routes.example"


class ChangingRoutes:
    """Routes beside those of the jobs, and when the store acknowledged their addition.

    The constructor takes the service of the routes, and a function that publishes a configuration
    with the present routes and returns whether it is certainly stored.
    """

    def __init__(self, random: Random, service: str, publish: Callable[[], bool]) -> None:
        self.violations: list[Violation] = []
        self.calls_by_status: dict[int, int] = {}
        self._random = random
        self._service = service
        self._publish = publish
        self._lasting = tuple(f"lasting{number}" for number in range(LASTING_ROUTES))
        self._changing: tuple[str, ...] = ()
        self._added_s_by_name: dict[str, float] = {}

    def encode(self) -> list[dict[str, Any]]:
        """Return the routes as the configuration holds them."""
        names = (*self._lasting, *self._changing)
        return [
            {
                "name": name,
                "host": HOST,
                "pathPrefix": f"/{name}/",
                "service": self._service,
                "public": True,
            }
            for name in names
        ]

    def change(self) -> None:
        """Add a route, and remove the oldest one once there are many."""
        name = f"route{self._random.getrandbits(48):012x}"
        before = self._changing
        self._changing = (*before, name)[-MAX_CHANGING_ROUTES:]
        if not self._publish():
            self._changing = before
            return
        self._added_s_by_name[name] = monotonic()
        for removed in set(before) - set(self._changing):
            del self._added_s_by_name[removed]

    def call(self, address: str) -> None:
        """Ask an entry for the pending jobs of a random route, and check the status."""
        if not self._added_s_by_name:
            return
        name = self._random.choice(tuple(self._added_s_by_name))
        client = Client(address)
        sent_s = monotonic()
        answer = client.call("GET", f"/{name}/", b"", CALL_TIMEOUT_S, {"Host": HOST})
        client.close()
        if isinstance(answer, Failure):
            return
        self.calls_by_status[answer.status] = self.calls_by_status.get(answer.status, 0) + 1
        added_s = self._added_s_by_name.get(name)
        if answer.status != 404 or added_s is None:
            return
        age_s = sent_s - added_s
        if age_s > APPLY_S + TOLERANCE_S:
            details = f"{address} answered 404 {age_s:.1f} s after the route was added"
            self.violations.append(Violation(monotonic(), "configuration", name, details))


def change_routes(routes: ChangingRoutes, random: Random, is_finished: Callable[[], bool]) -> None:
    """Change the routes in quick succession until ``is_finished`` returns true."""
    while not is_finished():
        routes.change()
        sleep(random.uniform(*CHANGE_PAUSE_S))


def call_routes(
    routes: ChangingRoutes,
    addresses: tuple[str, ...],
    random: Random,
    is_finished: Callable[[], bool],
) -> None:
    """Call routes at all entries until ``is_finished`` returns true."""
    while not is_finished():
        routes.call(random.choice(addresses))
        sleep(CALL_PAUSE_S)
