"""The archive of the one-file program holds all it needs and does not depend on the time."""

from importlib.util import MAGIC_NUMBER
from io import BytesIO
from zipfile import ZIP_STORED
from zipfile import ZipFile

from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals

from bundle.build import collect
from bundle.build import Member
from bundle.build import pack


class TestArchive(TestCase):
    def test_same_members_give_the_same_bytes(self):
        members = [Member("a/b.pyc", b"1"), Member("c.pyc", b"2")]
        self.assertThat(pack(members), Equals(pack(list(members))))

    def test_members_are_stored_since_nothing_can_inflate_the_first_ones(self):
        archive = ZipFile(BytesIO(pack([Member("a/b.pyc", b"1" * 1000)])))
        self.assertThat({entry.compress_type for entry in archive.infolist()}, Equals({ZIP_STORED}))

    def test_folders_without_a_module_are_entries_of_their_own(self):
        archive = ZipFile(BytesIO(pack([Member("zope/event/__init__.pyc", b"1")])))
        self.assertThat(archive.namelist(), Contains("zope/"))

    def test_product_library_and_extensions_are_collected(self):
        content_by_name = dict(collect())
        for name in ("laburnumswitch/entry.pyc", "json/__init__.pyc", "gevent/hub.pyc"):
            self.assertThat(content_by_name[name][:4], Equals(MAGIC_NUMBER))
        self.assertThat(content_by_name["extensions/_socket"][:4], Equals(b"\x7fELF"))
        self.assertThat(
            [name for name in content_by_name if name.startswith("standin")], Equals([])
        )
