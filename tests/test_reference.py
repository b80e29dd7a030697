"""The operators' reference pages match the types that define the file formats."""

from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals

from laburnumswitch.process.daemon.settings import parse_settings
from laburnumswitch.process.daemon.settings import Settings
from scripts.reference import PAGES
from scripts.reference import render_page
from scripts.reference import TYPES_BY_NAME


class TestReference(TestCase):
    def test_pages_are_current(self):
        for page in PAGES:
            text = page.read_text("utf-8")
            self.assertThat(render_page(text), Equals(text))

    def test_every_field_is_listed(self):
        text = "".join(page.read_text("utf-8") for page in PAGES)
        for target in TYPES_BY_NAME.values():
            for field in target._fields:
                self.assertThat(text, Contains(f"\n| `{field}` | "))

    def test_example_of_settings_is_valid(self):
        text = PAGES[1].read_text("utf-8")
        example = text.split("```yaml\n")[1].split("```")[0]
        self.assertIsInstance(parse_settings("example", example.encode()), Settings)
