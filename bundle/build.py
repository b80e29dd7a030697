"""Builds one file with every role: an interpreter with the archive of all modules appended.

The same sources, interpreter and compiler give the same bytes: entries are sorted and dated alike,
and byte code is checked by nothing that depends on the time.
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

ENTRY_DATE = (2026, 1, 1, 0, 0, 0)
UNCHECKED_HASH_FLAGS = (1).to_bytes(4, "little") + bytes(8)
MAIN_CODE = "import bootstrap\nbootstrap.run()\n"
HERE = Path(__file__).parent
PACKAGE = HERE.parent / "laburnumswitch"
LEFT_OUT_OF_STANDARD_LIBRARY = frozenset(
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
LEFT_OUT_OF_EXTENSIONS = ("_test", "_xx", "xx", "_tkinter", "_ctypes_test")
MODULE_SUFFIXES = frozenset({".py", ".so"})
LEFT_OUT_PARTS = frozenset({"tests", "testing", "__pycache__"})


class Member(NamedTuple):
    """One member of the archive."""

    name: str
    content: bytes


@click.command()
@click.option("--output", type=click.Path(dir_okay=False, path_type=Path), required=True)
def main(output: Path) -> None:
    """Build the program."""
    output.parent.mkdir(parents=True, exist_ok=True)
    interpreter = compile_interpreter(output.with_suffix(".interpreter"))
    archive = pack(collect())
    output.write_bytes(interpreter.read_bytes() + archive)
    output.chmod(0o755)
    interpreter.unlink()
    click.echo(f"{output}: {output.stat().st_size / 1e6:.1f} MB")


def compile_interpreter(output: Path) -> Path:
    """Compile the starter with the interpreter's static library; the C library stays shared."""
    library = Path(sysconfig.get_config_var("LIBPL")) / sysconfig.get_config_var("LIBRARY")
    if not library.exists():
        raise click.ClickException(f"this interpreter has no static library: {library.name}")
    command = [
        *("cc", "-O2", "-g0", "-s", "-o", str(output), str(HERE / "main.c"), str(library)),
        f"-I{sysconfig.get_path('include')}",
        *("-Wl,--export-dynamic", "-Wl,--build-id=none", "-ldl", "-lm", "-lpthread", "-lutil"),
    ]
    run(command, check=True)
    return output


def collect() -> list[Member]:
    """Return all members, sorted by name."""
    members = {"__main__.pyc": _byte_code("__main__.py", MAIN_CODE.encode())}
    bootstrap = (HERE / "bootstrap.py").read_bytes()
    members["bootstrap.pyc"] = _byte_code("bootstrap.py", bootstrap)
    for name, path in _files():
        suffix = next((end for end in EXTENSION_SUFFIXES if name.endswith(end)), None)
        if suffix:
            module = name.removesuffix(suffix).replace("/", ".")
            members[f"extensions/{module}"] = path.read_bytes()
        elif name.endswith(".py"):
            members[name + "c"] = _byte_code(name, path.read_bytes())
        else:
            members[name] = path.read_bytes()
    return [Member(name, members[name]) for name in sorted(members)]


def pack(members: list[Member]) -> bytes:
    """Return a ZIP archive of the members, stored, since the library that inflates is one."""
    buffer = BytesIO()
    with ZipFile(buffer, "w", ZIP_STORED) as archive:
        for folder in _folders(members):
            archive.writestr(ZipInfo(folder, ENTRY_DATE), b"")
        for member in members:
            entry = ZipInfo(member.name, ENTRY_DATE)
            archive.writestr(entry, member.content)
    return buffer.getvalue()


def _folders(members: list[Member]) -> list[str]:
    """Return the folders' own names: packages without a module of their own need them."""
    folders = {f"{parent}/" for member in members for parent in Path(member.name).parents}
    return sorted(folders - {"./"})


def _byte_code(name: str, source: bytes) -> bytes:
    code = compile(source, name, "exec", dont_inherit=True, optimize=0)
    return MAGIC_NUMBER + UNCHECKED_HASH_FLAGS + dumps(code)


def _files() -> Iterator[tuple[str, Path]]:
    yield from _standard_library()
    for path in sorted(PACKAGE.rglob("*.py")):
        yield f"laburnumswitch/{path.relative_to(PACKAGE)}", path
    for name in sorted(_requirements()):
        yield from _distribution_files(name)


def _standard_library() -> Iterator[tuple[str, Path]]:
    root = Path(sysconfig.get_path("stdlib"))
    for path in sorted(root.rglob("*.py")):
        relative = path.relative_to(root)
        if not _is_left_out(relative):
            yield str(relative), path
    for path in sorted((root / "lib-dynload").glob("*.so")):
        if not path.name.startswith(LEFT_OUT_OF_EXTENSIONS):
            yield path.name, path
    # The build-time variables module is read at start by sysconfig.
    yield from ((path.name, path) for path in root.glob("_sysconfigdata_*.py"))


def _is_left_out(relative: Path) -> bool:
    first = relative.parts[0]
    if first in LEFT_OUT_OF_STANDARD_LIBRARY or first.startswith("config-"):
        return True
    return "__pycache__" in relative.parts or "tests" in relative.parts


def _requirements() -> set[str]:
    lock = HERE.parent / "requirements.txt"
    lines = lock.read_text(encoding="utf-8").splitlines()
    return {line.split("==")[0] for line in lines if "==" in line and not line.startswith(" ")}


def _distribution_files(name: str) -> Iterator[tuple[str, Path]]:
    for file in sorted(distribution(name).files or ()):
        path = Path(file.locate())
        if LEFT_OUT_PARTS & set(file.parts) or ".." in file.parts or not path.is_file():
            continue
        if path.suffix in MODULE_SUFFIXES or _is_data(path, name):
            yield str(file), path


def _is_data(path: Path, name: str) -> bool:
    if name == "tzdata" and "zoneinfo" in path.parts:
        return path.suffix != ".py"
    return path.suffix == ".pem" or path.name == "METADATA"


if __name__ == "__main__":
    sys.exit(main())
