"""First module of the one-file program: finds extension modules in the archive and starts.

An extension module can only be loaded from a file. It is written to memory-backed temporary space
when it is first imported and removed as soon as it is loaded, so that nothing stays behind.

Only modules without extensions may be imported before the finder is in place.
"""

import os
import sys
from importlib.machinery import ExtensionFileLoader
from importlib.machinery import ModuleSpec
from importlib.util import spec_from_file_location
from types import ModuleType
from zipimport import zipimporter

ARCHIVE = "/proc/self/exe"
EXTENSION_FOLDER = "extensions"
MEMORY_BACKED_FOLDERS = ("/run", "/tmp")


class ExtensionLoader(ExtensionFileLoader):
    """Loads one extension module from a file that exists only meanwhile."""

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        """Load the library and remove its file."""
        try:
            return super().create_module(spec)
        finally:
            os.unlink(self.path)


class ExtensionFinder:
    """Finds extension modules by their full name."""

    def __init__(self) -> None:
        self._archive = zipimporter(ARCHIVE)
        writable = [folder for folder in MEMORY_BACKED_FOLDERS if os.access(folder, os.W_OK)]
        self._folder = writable[0]

    def find_spec(self, name: str, path: object, target: object = None) -> ModuleSpec | None:
        """Return the spec of an extension module in the archive."""
        try:
            content = self._archive.get_data(f"{EXTENSION_FOLDER}/{name}")
        except OSError:
            return None
        file_name = f"{self._folder}/laburnumswitch-{os.getpid()}-{name}.so"
        handle = os.open(file_name, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        with os.fdopen(handle, "wb") as file:
            file.write(content)
        loader = ExtensionLoader(name, file_name)
        return spec_from_file_location(name, file_name, loader=loader)


def run() -> None:
    """Start the command line."""
    sys.meta_path.insert(0, ExtensionFinder())
    from laburnumswitch.command import main

    main(prog_name="laburnumswitch")
