"""Tests that the platform's names occur only in its adapter, and that this shadows no module."""

import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

import laburnumswitch

PACKAGE = Path(laburnumswitch.__file__).parent
# Paths, headers and field names of the platform's interface.
PLATFORM_NAMES = re.compile(
    r"/v1/|rows-(tx|get|feed)|run-start|run-stop|X-Expect-Instance|X-Deadline"
    r"|untilMs|lastSeen|clockMs|mayMiss|longRunning|antiAffinity|estimateMs|pathPrefix"
    r"|maxAttempts|expectedRev|coldRemainingMs|holdMaxMs|internalPorts|op/(config|evacuate|wave)"
)


class TestNames(TestCase):
    def test_platform_names_occur_only_in_the_adapter(self):
        found = [
            f"{path.relative_to(PACKAGE)}: {match.group()}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if path.relative_to(PACKAGE).parts[0] != "platform"
            for match in PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertThat(found, Equals([]))

    def test_standard_platform_module_is_not_shadowed(self):
        import platform

        self.assertThat(hasattr(platform, "python_version"), Equals(True))
