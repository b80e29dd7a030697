"""Nothing outside the adapter knows the platform's names, and it hides no standard module."""

import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

import laburnumswitch

PACKAGE = Path(laburnumswitch.__file__).parent
# Paths, headers and field names that only the platform's pages use.
PLATFORM_NAMES = re.compile(
    r"/v1/|rows-(tx|get|feed)|run-start|run-stop|X-Expect-Instance|X-Deadline"
    r"|untilMs|lastSeen|clockMs|mayMiss|longRunning|antiAffinity|estimateMs|pathPrefix"
    r"|maxAttempts|expectedRev|coldRemainingMs|holdMaxMs|internalPorts|op/(config|evacuate|wave)"
)


class TestNames(TestCase):
    def test_only_the_adapter_knows_them(self):
        found = [
            f"{path.relative_to(PACKAGE)}: {match.group()}"
            for path in sorted(PACKAGE.rglob("*.py"))
            if path.relative_to(PACKAGE).parts[0] != "platform"
            for match in PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertThat(found, Equals([]))

    def test_standard_module_of_that_name_is_not_hidden(self):
        import platform

        self.assertThat(hasattr(platform, "python_version"), Equals(True))
