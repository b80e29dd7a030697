"""Test case that runs commands against an in-memory platform and entries."""

from itertools import count

from click.testing import CliRunner
from msgspec.json import decode
from testtools import TestCase

from laburnumswitch.command import main
from laburnumswitch.command.access import Access
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.peers.vms import VmChanges
from standin.table import MemoryTable
from tests.memory import MemoryEntry
from tests.memory import MemoryObjects
from tests.memory import unreachable_entry

PLATFORM = ("--platform", "127.0.0.1:7000")


class MemoryVms:
    def __init__(self):
        self.down = False

    def changes_after(self, revision):
        if self.down:
            return Unavailable("the list is down")
        entry = Vm("e1", "entry", "127.0.0.1:1", "az-1", "live")
        worker = Vm("w1", "worker", "127.0.0.1:2", "az-1", "live")
        return VmChanges(1, (entry, worker, entry._replace(vm_id="e2", availability_zone="az-2")))


class CommandCase(TestCase):
    def setUp(self):
        super().setUp()
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.vms = MemoryVms()
        self.entries = {}
        self.headers = []
        self.slept = []
        self.on_sleep = self.slept.append
        self._ticks = count(1_000)

    def entry(self, address, **answers):
        entry = self.entries[address] = MemoryEntry(address)
        entry.answers = {f"/operator/{path}": answer for path, answer in answers.items()}
        return entry

    def run_command(self, *arguments):
        """Return exit code, standard output and standard error."""
        access = Access(
            lambda _: self.table,
            lambda _: self.objects,
            lambda _: self.vms,
            self._open_entry,
            lambda delay_s: self.on_sleep(delay_s),
            lambda: float(next(self._ticks)),
        )
        result = CliRunner().invoke(main, list(arguments), obj=access, catch_exceptions=False)
        return result.exit_code, result.stdout, result.stderr

    def run_json(self, *arguments):
        code, output, _ = self.run_command(*arguments, "--json")
        return code, decode(output)

    def _open_entry(self, address, headers, tls):
        self.headers.append(dict(headers))
        return self.entries.get(address) or unreachable_entry(address)
