"""Tests of the archive of the single-file executable: complete and reproducible."""

from importlib.util import MAGIC_NUMBER
from io import BytesIO
from zipfile import ZIP_STORED
from zipfile import ZipFile

from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals

from bundle.build import build_archive
from bundle.build import collect_members
from bundle.build import Member


class TestArchive(TestCase):
    def test_archive_is_reproducible(self):
        members = [Member("a/b.pyc", b"1"), Member("c.pyc", b"2")]
        self.assertThat(build_archive(members), Equals(build_archive(list(members))))

    def test_members_are_stored_uncompressed(self):
        archive = ZipFile(BytesIO(build_archive([Member("a/b.pyc", b"1" * 1000)])))
        self.assertThat({entry.compress_type for entry in archive.infolist()}, Equals({ZIP_STORED}))

    def test_folders_without_a_module_have_members_of_their_own(self):
        archive = ZipFile(BytesIO(build_archive([Member("zope/event/__init__.pyc", b"1")])))
        self.assertThat(archive.namelist(), Contains("zope/"))

    def test_package_standard_library_and_extensions_are_collected(self):
        content_by_name = dict(collect_members())
        for name in ("laburnumswitch/entry.pyc", "json/__init__.pyc", "gevent/hub.pyc"):
            self.assertThat(content_by_name[name][:4], Equals(MAGIC_NUMBER))
        self.assertThat(content_by_name["extensions/_socket"][:4], Equals(b"\x7fELF"))
        self.assertThat(
            [name for name in content_by_name if name.startswith("standin")], Equals([])
        )
