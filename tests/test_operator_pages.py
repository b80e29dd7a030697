"""The operators' pages list exactly the metrics and event kinds that exist."""

import ast
import re
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase
from testtools.matchers import Equals

from laburnumswitch.entry import Daemon
from laburnumswitch.process.daemon.settings import Platform
from laburnumswitch.process.daemon.settings import Settings
from laburnumswitch.process.observing.event_kinds import SUBJECT_BY_KIND
from laburnumswitch.process.rows.key_file import open_key_file

ROOT = Path(__file__).parents[1]
PAGES = ROOT / "docs" / "operators"
ROW = re.compile(r"^\| `(\w+)` \|(.*)\|$", re.MULTILINE)
METRIC = re.compile(r"(?:laburnumswitch|process)_[a-z_]+")
HISTOGRAM_SUFFIXES = ("_bucket", "_sum", "_count")


def parse_table(page):
    """Return the other cells of each row by the name in its first cell, which must be unique."""
    rows = ROW.findall((PAGES / page).read_text("utf-8"))
    cells_by_name = {name: [cell.strip() for cell in rest.split("|")] for name, rest in rows}
    assert len(rows) == len(cells_by_name)
    return cells_by_name


def registered_names():
    with TemporaryDirectory() as folder:
        keys = Path(folder, "keys")
        keys.write_text("a-key-for-the-tests-only\n", "utf-8")
        address = "127.0.0.1:0"
        platform = Platform(address, address, address)
        settings = Settings("e1", "az-1", address, address, platform, str(keys))
        return Daemon(settings, open_key_file(str(keys))).metrics.names


def recorded_event_details():
    """Yield the kind and the detail names of every event that the code records."""
    for path in (ROOT / "laburnumswitch").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Call) and ast.unparse(node.func).endswith("timeline.record"):
                names = {keyword.arg for keyword in node.keywords if keyword.arg}
                if isinstance(node.args[0], ast.Constant):
                    yield node.args[0].value, names


class TestPages(TestCase):
    def test_metrics(self):
        listed = parse_table("metrics.md")
        self.assertThat(sorted(listed), Equals(sorted(registered_names())))
        for name, cells in listed.items():
            self.assertThat((name, len(cells), all(cells)), Equals((name, 3, True)))
            is_counter = cells[0].startswith("counter, ")
            self.assertThat((name, is_counter), Equals((name, name.endswith("_total"))))

    def test_event_kinds(self):
        listed = parse_table("events.md")
        subjects = {kind: cells[0] for kind, cells in listed.items()}
        self.assertThat(subjects, Equals(dict(SUBJECT_BY_KIND)))
        for kind, cells in listed.items():
            self.assertThat((kind, len(cells), all(cells)), Equals((kind, 4, True)))

    def test_details_of_events(self):
        listed = parse_table("events.md")
        for kind, names in recorded_event_details():
            unlisted = names - set(re.findall(r"`(\w+)`", listed[kind][1]))
            self.assertThat((kind, unlisted), Equals((kind, set())))

    def test_index_names_every_page(self):
        named = set(re.findall(r"`([\w-]+\.md)`", (PAGES / "README.md").read_text("utf-8")))
        pages = {page.name for page in PAGES.glob("*.md")}
        self.assertThat(named | {"README.md"}, Equals(pages))

    def test_metrics_named_in_other_pages_exist(self):
        names = set(registered_names())
        names |= {name + end for name in names for end in HISTOGRAM_SUFFIXES}
        for page in PAGES.glob("*.md"):
            used = set(METRIC.findall(page.read_text("utf-8")))
            self.assertThat((page.name, used - names), Equals((page.name, set())))
