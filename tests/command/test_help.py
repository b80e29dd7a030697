"""Every example in the help texts and the operators' pages runs successfully."""

import re
import shlex
from contextlib import chdir
from pathlib import Path
from tempfile import TemporaryDirectory
from urllib.parse import quote

from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from laburnumswitch.command import main
from laburnumswitch.process.rows.table import Put
from laburnumswitch.process.rows.table import Transaction
from tests.command.case import CommandCase
from tests.command.test_declarations import JOB
from tests.command.test_declarations import TEAM
from tests.command.test_operators import job_row
from tests.connection.certificates import Authority

PAGES = Path(__file__).parents[2] / "docs" / "operators"
DECISION = '{"t": 1.0, "vm": "vm-1", "event": "request", "id": "5c0e7a21d94b36f8"}\n'
EXAMPLE = re.compile(r"^ *laburnumswitch (.*)$", re.MULTILINE)
BLOCK = re.compile(r"^ *```(\w*)\n(.*?)^ *```$", re.MULTILINE | re.DOTALL)
INLINE = re.compile(r"`laburnumswitch ([a-z]+(?: [a-z]+)?)")
DATA_LANGUAGES = {"yaml", "promql", "json", "http"}
JOB_ID = "truck-loading@20261203T173000Z"
SETTINGS = """\
vm_id: e1
availability_zone: az-1
caller_address: 10.0.0.7:8080
admin_address: 10.0.0.7:8300
platform: {table: 10.0.0.2:7000, objects: 10.0.0.2:7000, vms: 10.0.0.2:7000}
key_file: keys
"""


class TestHelp(CommandCase):
    def setUp(self):
        super().setUp()
        entry = self.entry("10.0.0.7:8300", status=[], zones=[], jobs=[], workers=[], timeline=[])
        entry.answers["/metrics"] = b"laburnumswitch_is_owner 1.0\n"
        entry.answers[f"/operator/jobs/{quote(JOB_ID)}"] = [{"job_id": JOB_ID}]
        self.table.commit(
            Transaction((), (Put(f"job/{JOB_ID}", job_row("truck-loading", "admitted")),))
        )

    def test_examples_of_every_command(self):
        with TemporaryDirectory() as working_folder, chdir(working_folder):
            folder = Path("services/orders")
            folder.mkdir(parents=True)
            (folder / "laburnumswitch.yaml").write_text(f"{TEAM}---\n{JOB}", "utf-8")
            Path("settings.yaml").write_text(SETTINGS, "utf-8")
            Path("entry-1.log").write_text(DECISION, "utf-8")
            Path("entry-2.log").write_text("", "utf-8")
            Path("keys").write_text("key-0123456789abcdef\n", "utf-8")
            files = Authority(Path(), "authorities").issue("me")
            self.assertThat(files, Equals(("me.pem", "me.key", "authorities.pem")))
            for path in _command_paths():
                _, text, _ = self.run_command(*path, "--help")
                examples = EXAMPLE.findall(text)
                self.assertThat(len(examples), GreaterThan(0), path)
                self._run_examples(examples)
            for page in PAGES.glob("*.md"):
                self._run_examples(EXAMPLE.findall(page.read_text("utf-8")))

    def test_pages_show_no_other_commands(self):
        for page in PAGES.glob("*.md"):
            text = page.read_text("utf-8")
            for language, block in BLOCK.findall(text):
                lines = [line.strip() for line in block.splitlines()]
                commands = [line for line in lines if line.startswith("laburnumswitch ")]
                known = lines if language in DATA_LANGUAGES else commands
                self.assertThat((page.name, known), Equals((page.name, lines)))
            for words in INLINE.findall(text):
                path = words.split()
                self.assertThat((path, tuple(path) in set(_command_names())), Equals((path, True)))

    def _run_examples(self, examples):
        for example in examples:
            self.on_sleep = self._interrupt if "--follow" in example else self.slept.append
            code, _, errors = self.run_command(*shlex.split(example.split(" > ")[0]))
            if "--follow" in example:
                expected = 1
            elif "--expect" in example:
                expected = 3
            elif example.startswith("entry"):
                expected = 1
            else:
                expected = 0
            self.assertThat(
                (example, code, errors if code != expected else ""), Equals((example, expected, ""))
            )

    def _interrupt(self, _):
        raise KeyboardInterrupt


def _command_names():
    for path in _command_paths():
        yield from (path, path[:1])


def _command_paths():
    for name, command in main.commands.items():
        subcommands = getattr(command, "commands", None)
        yield from ((name, part) for part in subcommands) if subcommands else ((name,),)
