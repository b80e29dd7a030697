"""Builds the single-file executable: an interpreter with an archive of all modules appended.

The build is reproducible for the same sources, interpreter and compiler: members are sorted and
have a fixed date, and the byte code is marked as unchecked, so it contains no time stamps.
"""

import sys
import sysconfig
from collections.abc import Iterator
from importlib.machinery import EXTENSION_SUFFIXES
from importlib.metadata import distribution
from importlib.util import MAGIC_NUMBER
from io import BytesIO
from marshal import dumps
from pathlib import Path
from subprocess import run
from typing import NamedTuple
from zipfile import ZIP_STORED
from zipfile import ZipFile
from zipfile import ZipInfo

import click

MEMBER_DATE = (2026, 1, 1, 0, 0, 0)
UNCHECKED_HASH_FLAGS = (1).to_bytes(4, "little") + bytes(8)
MAIN_CODE = "import bootstrap\nbootstrap.run()\n"
BUNDLE_FOLDER = Path(__file__).parent
PACKAGE_FOLDER = BUNDLE_FOLDER.parent / "laburnumswitch"
EXCLUDED_STANDARD_LIBRARY = frozenset(
    (
        "__pycache__",
        "ensurepip",
        "idlelib",
        "lib-dynload",
        "lib2to3",
        "pydoc_data",
        "site-packages",
        "test",
        "tkinter",
        "turtledemo",
    )
)
EXCLUDED_EXTENSION_PREFIXES = ("_test", "_xx", "xx", "_tkinter", "_ctypes_test")
MODULE_SUFFIXES = frozenset({".py", ".so"})
EXCLUDED_FOLDERS = frozenset({"tests", "testing", "__pycache__"})


class Member(NamedTuple):
    """A file in the archive."""

    name: str
    content: bytes


@click.command()
@click.option("--output", type=click.Path(dir_okay=False, path_type=Path), required=True)
def main(output: Path) -> None:
    """Build the executable."""
    output.parent.mkdir(parents=True, exist_ok=True)
    interpreter = compile_interpreter(output.with_suffix(".interpreter"))
    archive = build_archive(collect_members())
    output.write_bytes(interpreter.read_bytes() + archive)
    output.chmod(0o755)
    interpreter.unlink()
    click.echo(f"{output}: {output.stat().st_size / 1e6:.1f} MB")


def compile_interpreter(output: Path) -> Path:
    """Compile the launcher, linked statically with the interpreter and dynamically with libc."""
    library = Path(sysconfig.get_config_var("LIBPL")) / sysconfig.get_config_var("LIBRARY")
    if not library.exists():
        raise click.ClickException(f"static library of the interpreter not found: {library.name}")
    command = [
        *("cc", "-O2", "-g0", "-s", "-o", str(output), str(BUNDLE_FOLDER / "main.c"), str(library)),
        f"-I{sysconfig.get_path('include')}",
        *("-Wl,--export-dynamic", "-Wl,--build-id=none", "-ldl", "-lm", "-lpthread", "-lutil"),
    ]
    run(command, check=True)
    return output


def collect_members() -> list[Member]:
    """Return all members of the archive, sorted by name."""
    members = {"__main__.pyc": _compile_module("__main__.py", MAIN_CODE.encode())}
    bootstrap = (BUNDLE_FOLDER / "bootstrap.py").read_bytes()
    members["bootstrap.pyc"] = _compile_module("bootstrap.py", bootstrap)
    for name, path in _source_files():
        extension_suffix = next((end for end in EXTENSION_SUFFIXES if name.endswith(end)), None)
        if extension_suffix:
            module = name.removesuffix(extension_suffix).replace("/", ".")
            members[f"extensions/{module}"] = path.read_bytes()
        elif name.endswith(".py"):
            members[name + "c"] = _compile_module(name, path.read_bytes())
        else:
            members[name] = path.read_bytes()
    return [Member(name, members[name]) for name in sorted(members)]


def build_archive(members: list[Member]) -> bytes:
    """Return a ZIP archive of the members.

    They are stored uncompressed, since the extension module that inflates (zlib) is one of them.
    """
    buffer = BytesIO()
    with ZipFile(buffer, "w", ZIP_STORED) as archive:
        for folder in _folders(members):
            archive.writestr(ZipInfo(folder, MEMBER_DATE), b"")
        for member in members:
            info = ZipInfo(member.name, MEMBER_DATE)
            archive.writestr(info, member.content)
    return buffer.getvalue()


def _folders(members: list[Member]) -> list[str]:
    """Return the names of all folders; packages without an ``__init__`` module need a member."""
    folders = {f"{parent}/" for member in members for parent in Path(member.name).parents}
    return sorted(folders - {"./"})


def _compile_module(name: str, source: bytes) -> bytes:
    code = compile(source, name, "exec", dont_inherit=True, optimize=0)
    return MAGIC_NUMBER + UNCHECKED_HASH_FLAGS + dumps(code)


def _source_files() -> Iterator[tuple[str, Path]]:
    yield from _standard_library_files()
    for path in sorted(PACKAGE_FOLDER.rglob("*.py")):
        yield f"laburnumswitch/{path.relative_to(PACKAGE_FOLDER)}", path
    for name in sorted(_requirements()):
        yield from _distribution_files(name)


def _standard_library_files() -> Iterator[tuple[str, Path]]:
    root = Path(sysconfig.get_path("stdlib"))
    for path in sorted(root.rglob("*.py")):
        relative = path.relative_to(root)
        if not _is_excluded(relative):
            yield str(relative), path
    for path in sorted((root / "lib-dynload").glob("*.so")):
        if not path.name.startswith(EXCLUDED_EXTENSION_PREFIXES):
            yield path.name, path
    # sysconfig reads the module with the build-time variables.
    yield from ((path.name, path) for path in root.glob("_sysconfigdata_*.py"))


def _is_excluded(relative: Path) -> bool:
    first = relative.parts[0]
    if first in EXCLUDED_STANDARD_LIBRARY or first.startswith("config-"):
        return True
    return "__pycache__" in relative.parts or "tests" in relative.parts


def _requirements() -> set[str]:
    lock = BUNDLE_FOLDER.parent / "requirements.txt"
    lines = lock.read_text(encoding="utf-8").splitlines()
    return {line.split("==")[0] for line in lines if "==" in line and not line.startswith(" ")}


def _distribution_files(name: str) -> Iterator[tuple[str, Path]]:
    for file in sorted(distribution(name).files or ()):
        path = Path(file.locate())
        if EXCLUDED_FOLDERS & set(file.parts) or ".." in file.parts or not path.is_file():
            continue
        if path.suffix in MODULE_SUFFIXES or _is_data(path, name):
            yield str(file), path


def _is_data(path: Path, name: str) -> bool:
    if name == "tzdata" and "zoneinfo" in path.parts:
        return path.suffix != ".py"
    return path.suffix == ".pem" or path.name == "METADATA"


if __name__ == "__main__":
    sys.exit(main())
