"""Generates the field tables of the operators' pages from the types that parse the files.

A page holds prose and, between two comments, the table of the fields of the type named in the first
one. Run ``python -m scripts.reference`` after changing such a type.
"""

import re
from pathlib import Path
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints
from typing import Literal

from msgspec import Meta
from msgspec.json import encode

from laburnumswitch.process.daemon.settings import CallerTls
from laburnumswitch.process.daemon.settings import Limits
from laburnumswitch.process.daemon.settings import Platform
from laburnumswitch.process.daemon.settings import Settings
from laburnumswitch.process.daemon.settings import Tls
from laburnumswitch.units import CpuMillis
from laburnumswitch.units import Megabytes
from laburnumswitch.units import Seconds
from laburnumswitch.version.fields import JobFields
from laburnumswitch.version.fields import QuotaFields
from laburnumswitch.version.fields import ServiceFields
from laburnumswitch.version.fields import StateFields
from laburnumswitch.version.fields import TeamFields
from laburnumswitch.yamlfields import nested_type

FOLDER = Path(__file__).parents[1] / "docs" / "operators"
PAGES = (FOLDER / "declarations.md", FOLDER / "settings.md")
TYPES = (
    ServiceFields,
    StateFields,
    JobFields,
    TeamFields,
    QuotaFields,
    Settings,
    Platform,
    Limits,
    Tls,
    CallerTls,
)
TYPES_BY_NAME = {target.__name__: target for target in TYPES}
VALUE_LABEL_BY_TYPE = {
    CpuMillis: "cores",
    Megabytes: "memory",
    Seconds: "duration",
    str: "text",
    bool: "`true` or `false`",
    float: "number",
}

_TABLE = re.compile(r"<!-- fields of (\w+) -->\n.*?<!-- end -->", re.DOTALL)


def render_page(text: str) -> str:
    """Return the page with its tables regenerated."""
    return _TABLE.sub(lambda match: _render_table(match[1]), text)


def main() -> None:
    """Rewrite the pages in place."""
    for page in PAGES:
        page.write_text(render_page(page.read_text("utf-8")), "utf-8")


def _render_table(name: str) -> str:
    target = TYPES_BY_NAME[name]
    lines = [f"<!-- fields of {name} -->", "", "| field | value | default | meaning |"]
    lines.append("| --- | --- | --- | --- |")
    for field, hint in get_type_hints(target, include_extras=True).items():
        metas = [part for part in hint.__metadata__ if isinstance(part, Meta)]
        default = _default_text(target, field)
        meaning = metas[-1].description
        lines.append(f"| `{field}` | {_value_text(hint)} | {default} | {meaning} |")
    return "\n".join((*lines, "", "<!-- end -->"))


def _value_text(hint: Any) -> str:
    if nested_type(hint) is not None:
        return "mapping"
    arguments = get_args(hint)
    metas = getattr(hint, "__metadata__", ())
    base_type = arguments[0] if metas else hint
    pattern = next((meta.description for meta in metas if meta.pattern is not None), None)
    if pattern is not None:
        return pattern
    if get_origin(base_type) is Literal:
        return ", ".join(f"`{choice}`" for choice in get_args(base_type))
    if get_origin(base_type) is tuple:
        return f"list of: {_value_text(get_args(base_type)[0])}"
    if base_type is int:
        return _integer_range(metas)
    return VALUE_LABEL_BY_TYPE[base_type]


def _integer_range(metas: tuple[Meta, ...]) -> str:
    minimum = next(meta.ge for meta in metas if meta.ge is not None)
    maximum = next((meta.le for meta in metas if meta.le is not None), None)
    return f"{minimum} or more" if maximum is None else f"{minimum} to {maximum}"


def _default_text(target: Any, field: str) -> str:
    if field not in target._field_defaults:
        return "required"
    value = target._field_defaults[field]
    if value is None or value in ("", ()):
        return "none"
    if isinstance(value, Seconds):
        return f"`{value:g}s`"
    if hasattr(value, "_fields"):
        return "see below"
    if isinstance(value, tuple):
        return "`[" + ", ".join(value) + "]`"
    return f"`{value}`" if isinstance(value, str) else f"`{encode(value).decode()}`"


if __name__ == "__main__":
    main()
