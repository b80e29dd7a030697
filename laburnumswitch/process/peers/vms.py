"""Client of the platform's VM list, which may lag: VMs may be missing or gone."""

from typing import Literal
from typing import NamedTuple
from typing import Protocol

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.json_call import call_json
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.size import Size

NO_CAPACITY = Size(0, 0, 0)


class Vm(NamedTuple):
    """One VM as listed by the platform.

    ``address`` is ``IP:port``: the admin port of an entry VM, the control port of a worker.
    """

    vm_id: str
    role: Literal["entry", "worker"]
    address: str
    availability_zone: str
    state: Literal["live", "leaving", "gone"]
    rack: str = ""
    capacity: Size = NO_CAPACITY


class VmChanges(NamedTuple):
    """VMs whose record changed after a revision; those in state ``gone`` no longer exist."""

    revision: int
    vms: tuple[Vm, ...]


class VmList(Protocol):
    """Interface of the VM list."""

    def changes_after(self, revision: int) -> VmChanges | Unavailable:
        """Return the records changed after ``revision``; 0 requests the whole list."""


class VmListClient:
    """``VmList`` over HTTP with JSON."""

    def __init__(self, client: Client, timeout_s: float = 2.0) -> None:
        self._client = client
        self._timeout_s = timeout_s

    def changes_after(self, revision: int) -> VmChanges | Unavailable:
        """Return the records changed after ``revision``; 0 requests the whole list."""
        target = f"/vms?after={revision}"
        answer = call_json(self._client, "GET", target, None, VmChanges, self._timeout_s)
        if isinstance(answer, Failure):
            return Unavailable(answer.describe())
        return answer
