"""First module of the single-file executable: installs the import of extension modules.

An extension module can only be loaded from a file. It is written to a memory-backed folder on its
first import and removed as soon as it is loaded, so that no files are left behind.

Only modules that need no extension modules may be imported before the finder is installed.
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
    """Loads an extension module from a temporary file and removes the file."""

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        """Load the shared library and remove its file."""
        try:
            return super().create_module(spec)
        finally:
            os.unlink(self.path)


class ExtensionFinder:
    """Meta path finder for the extension modules in the archive."""

    def __init__(self) -> None:
        self._archive = zipimporter(ARCHIVE)
        writable = [folder for folder in MEMORY_BACKED_FOLDERS if os.access(folder, os.W_OK)]
        self._folder = writable[0]

    def find_spec(self, name: str, path: object, target: object = None) -> ModuleSpec | None:
        """Extract an extension module and return its spec, or None if the archive has none."""
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
    """Install the finder and start the command line."""
    sys.meta_path.insert(0, ExtensionFinder())
    from laburnumswitch.__main__ import run as run_command_line

    run_command_line()
