"""Client of the platform's list of VMs."""

from urllib.parse import quote

from msgspec import Struct

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.json_call import call_json
from laburnumswitch.exceptions import AnswerMalformed
from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.vm_list import VmRow
from laburnumswitch.process.dispatch.vm_list import VmState

# Upper bound of the pages of one reading, far above that of the largest deployment.
MAX_PAGES = 100
STATE_BY_NAME = {
    "up": VmState.UP,
    "down": VmState.DOWN,
    "moving": VmState.MOVING,
    "upkeep": VmState.IN_MAINTENANCE,
}


class _Machine(Struct):
    machine: str
    state: str
    id: str | None = None


class _Page(Struct, rename={"next_token": "nextToken"}):
    machines: list[_Machine]
    next_token: str | None = None


class VmListClient:
    """Reads the list over HTTP, without retries."""

    def __init__(self, address: str) -> None:
        self._client = Client(address)

    def list_vms(self, timeout_s: float) -> tuple[VmRow, ...] | Failure:
        """Return all rows of the list, or the failure of any of its pages.

        :param timeout_s: time limit of each page in seconds.
        """
        rows: list[VmRow] = []
        target = "/v1/machines"
        for _ in range(MAX_PAGES):
            page = call_json(self._client, "GET", target, None, _Page, timeout_s)
            if isinstance(page, Failure):
                return page
            rows.extend(_decode_row(machine) for machine in page.machines)
            if not page.next_token:
                return tuple(rows)
            target = f"/v1/machines?pageToken={quote(page.next_token, safe='')}"
        return AnswerMalformed(self._client.address, f"more than {MAX_PAGES} pages")


def _decode_row(machine: _Machine) -> VmRow:
    state = STATE_BY_NAME.get(machine.state, VmState.UNKNOWN)
    return VmRow(machine.machine, state, machine.id or "")
