"""The declaration and the links in the README are valid."""

from pathlib import Path
from re import compile as compile_pattern
from re import DOTALL

from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import FileExists

from laburnumswitch.declaration import Configuration
from laburnumswitch.version.reading import read_files
from laburnumswitch.version.reading import SourceFile

ROOT = Path(__file__).parent.parent
DECLARATION = compile_pattern(r"```yaml\n(.*?)```", DOTALL)
PAGE = compile_pattern(r"`((?:docs/)?[A-Za-z/]+\.md)`")


class TestReadme(TestCase):
    def setUp(self):
        super().setUp()
        self.text = (ROOT / "README.md").read_text(encoding="utf-8")

    def test_first_declaration_is_valid(self):
        text = DECLARATION.search(self.text)[1]
        configuration = read_files((SourceFile("laburnumswitch.yaml", text.encode()),))
        self.assertThat(type(configuration), Equals(Configuration))
        names = [service.name for service in configuration.services]
        self.assertThat(names, Equals(["order-confirmations"]))

    def test_linked_pages_exist(self):
        for name in PAGE.findall(self.text):
            self.assertThat(str(ROOT / name), FileExists())
