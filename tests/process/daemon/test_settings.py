"""Settings and key files: typed problems, and key rotation without a restart."""

import os
from tempfile import TemporaryDirectory

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.exceptions import FileUnreadable
from laburnumswitch.exceptions import InvalidValue
from laburnumswitch.exceptions import MissingField
from laburnumswitch.exceptions import ProblemsFound
from laburnumswitch.exceptions import UnknownField
from laburnumswitch.process.daemon.settings import parse_settings
from laburnumswitch.process.daemon.settings import read_settings
from laburnumswitch.process.daemon.settings import Settings
from laburnumswitch.process.rows.key_file import CHECK_INTERVAL_S
from laburnumswitch.process.rows.key_file import open_key_file
from laburnumswitch.process.rows.key_file import read_keys

TEXT = """\
vm_id: entry-1
availability_zone: az-1
caller_address: 127.0.0.1:8080
admin_address: 127.0.0.1:8300
platform: {table: 127.0.0.1:7001, objects: 127.0.0.1:7002, vms: "[::1]:7003"}
key_file: /run/keys
limits:
  drain_limit: 90s
"""
OLD_KEY = "old-key-0123456789"
NEW_KEY = "new-key-0123456789"


def parse(text):
    return parse_settings("s.yaml", text.encode())


class TestSettings(TestCase):
    def test_fields_that_are_not_given_have_defaults(self):
        outcome = parse(TEXT)
        self.assertThat(outcome, IsInstance(Settings))
        self.assertThat(outcome.limits.drain_limit, Equals(90.0))
        self.assertThat((outcome.limits.queue, outcome.tls), Equals((512, None)))

    def test_every_problem_is_reported(self):
        broken = TEXT.replace("vm_id: entry-1", "vmid: entry-1").replace("90s", "90")
        broken = broken.replace("127.0.0.1:8080", "localhost:8080")
        outcome = parse(broken + "tls: {key: k}\n")
        self.assertThat(
            sorted((p.line, type(p).__name__, p.field) for p in outcome.problems),
            Equals(
                [
                    (1, "MissingField", "vm_id"),
                    (1, "UnknownField", "vmid"),
                    (3, "InvalidValue", "caller_address"),
                    (8, "InvalidValue", "limits.drain_limit"),
                    (9, "MissingField", "tls.authorities"),
                    (9, "MissingField", "tls.certificate"),
                ]
            ),
        )
        kinds = {type(problem) for problem in outcome.problems}
        self.assertThat(kinds, Equals({MissingField, UnknownField, InvalidValue}))

    def test_invalid_addresses_are_rejected(self):
        for bad in ("127.0.0.1:0", "127.0.0.1:65536", "999.0.0.1:80", "127.0.0.1:8300"):
            outcome = parse(TEXT.replace("127.0.0.1:8080", bad))
            self.assertThat([type(p) for p in outcome.problems], Equals([InvalidValue]))

    def test_missing_file_is_a_failure(self):
        outcome = read_settings("/nonexistent/settings.yaml")
        self.assertThat([type(p) for p in outcome.problems], Equals([FileUnreadable]))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(strategies.binary(max_size=200), strategies.integers(0, len(TEXT)))
    def test_any_bytes_give_settings_or_a_failure(self, inserted, position):
        content = TEXT.encode()
        for candidate in (inserted, content[:position] + inserted + content[position:]):
            outcome = parse_settings("s.yaml", candidate)
            self.assertThat(outcome, IsInstance(Settings | ProblemsFound))


class TestKeys(TestCase):
    def setUp(self):
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "keys")
        self.now_s = 0.0

    def write(self, text):
        with open(self.path, "w", encoding="utf-8") as opened:
            opened.write(text)
        self.now_s += CHECK_INTERVAL_S

    def open(self):
        return open_key_file(self.path, lambda: self.now_s)

    def test_rotation_accepts_both_keys_and_then_the_new_one(self):
        self.write(OLD_KEY)
        keys = self.open()
        self.write(f"# rotation\n{NEW_KEY}\n{OLD_KEY}\n")
        self.assertThat(keys.headers(), Equals({"Authorization": f"Bearer {NEW_KEY}"}))
        self.assertThat(keys.accepts(f"Bearer {OLD_KEY}"), Equals(True))
        self.write(NEW_KEY)
        self.assertThat(keys.accepts(f"Bearer {OLD_KEY}"), Equals(False))
        self.assertThat(keys.accepts(f"Bearer {NEW_KEY}"), Equals(True))

    def test_last_valid_keys_remain_in_use_if_the_file_becomes_invalid(self):
        self.write(OLD_KEY)
        keys = self.open()
        self.write("short")
        self.assertThat(keys.accepts(f"Bearer {OLD_KEY}"), Equals(True))
        self.assertThat(keys.problem, IsInstance(InvalidValue))
        os.remove(self.path)
        self.now_s += CHECK_INTERVAL_S
        self.assertThat(keys.accepts(f"Bearer {OLD_KEY}"), Equals(True))
        self.write(NEW_KEY)
        self.assertThat(keys.accepts(f"Bearer {OLD_KEY}"), Equals(False))
        self.assertThat(keys.problem, Equals(None))

    def test_malformed_authorization_header_is_not_accepted(self):
        self.write(OLD_KEY)
        keys = self.open()
        for header in (
            "",
            OLD_KEY,
            f"Basic {OLD_KEY}",
            "Bearer ",
            "Bearer \udcff",
            f"Bearer {OLD_KEY} ",
        ):
            self.assertThat(keys.accepts(header), Equals(False))

    def test_unusable_files_are_failures(self):
        self.assertThat(read_keys(self.path), IsInstance(FileUnreadable))
        for text in ("", "# only a comment\n", "short\n"):
            self.write(text)
            self.assertThat(read_keys(self.path), IsInstance(InvalidValue))
