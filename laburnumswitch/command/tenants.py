"""The ``tenants`` command, which shows what organisations have running against their limits.

Operators know organisations as tenants, as the configuration names them.
"""

import re
from typing import Any

import click

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import json_option
from laburnumswitch.command.access import resolve_target
from laburnumswitch.command.access import Target
from laburnumswitch.command.access import target_options
from laburnumswitch.command.output import fail
from laburnumswitch.command.output import print_rows
from laburnumswitch.connection.client import Response
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.units import MILLIS_PER_CORE

METRICS_PATH = "/metrics"
TIMEOUT_S = 5.0
STATUS_OK = 200
OWNER_LINE = re.compile(r"^laburnumswitch_is_owner 1(?:\.0)?$", re.MULTILINE)
SAMPLE_LINE = re.compile(
    r'^laburnumswitch_organisation_(\w+)\{organisation="((?:[^"\\]|\\.)*)"\} (\S+)$', re.MULTILINE
)
ESCAPE = re.compile(r"\\(.)")
MAX_REASON_BYTES = 200


@click.command()
@target_options
@json_option
@click.pass_obj
def tenants(access: Access, as_json: bool, **options: Any) -> None:
    """Show what each tenant has running, and its limits, as the owner's metrics say.

    Give the metrics addresses of several entries: the one that is the owner knows. A limit that is
    not set is left empty, null in JSON. The tenants beyond the first 50 are added up as "other".

    \b
    Examples:
      laburnumswitch tenants --entry 10.0.0.7:8300 --entry 10.0.0.8:8300
      laburnumswitch tenants --entry 10.0.0.7:8300 --json
    """
    target = resolve_target(**options)
    if not target.entries:
        raise click.UsageError("needs --entry ADDRESS or --settings FILE")
    page = _read_owner_page(access, target)
    if isinstance(page, Failure):
        fail(page, as_json)
    print_rows(parse_rows(page), as_json)


def parse_rows(page: str) -> list[dict[str, Any]]:
    """Return a row for each organisation in a metrics page, by name."""
    sample_by_organisation: dict[str, dict[str, float]] = {}
    for metric, label, value in SAMPLE_LINE.findall(page):
        name = ESCAPE.sub(lambda match: "\n" if match[1] == "n" else match[1], label)
        sample_by_organisation.setdefault(name, {})[metric] = float(value)
    return [_row(name, samples) for name, samples in sorted(sample_by_organisation.items())]


def _row(name: str, samples: dict[str, float]) -> dict[str, Any]:
    def read(metric: str) -> int:
        return int(samples.get(metric, 0.0))

    return {
        "tenant": name,
        "runs": read("runs"),
        "cores": read("running_cpu_millis") / MILLIS_PER_CORE,
        "cores_limit": read("limit_cpu_millis") / MILLIS_PER_CORE or None,
        "memory_mb": read("running_memory_mb"),
        "memory_mb_limit": read("limit_memory_mb") or None,
        "accelerators": read("running_accelerators"),
        "accelerators_limit": read("limit_accelerators") or None,
    }


def _read_owner_page(access: Access, target: Target) -> str | Failure:
    """Return the metrics page of the entry that is the owner; the others have no sums."""
    failure: Failure | None = None
    for address in target.entries:
        page = _read_page(access, target, address)
        if isinstance(page, Failure):
            failure = page
        elif OWNER_LINE.search(page):
            return page
    return failure or Unavailable("none of the given entries is the owner")


def _read_page(access: Access, target: Target, address: str) -> str | Failure:
    client = access.open_entry(address, target.headers, target.tls)
    answer = client.call("GET", METRICS_PATH, b"", TIMEOUT_S)
    client.close()
    if not isinstance(answer, Response):
        return answer
    text = answer.body.decode("utf-8", "replace")
    if answer.status != STATUS_OK:
        return Refused(address, answer.status, text[:MAX_REASON_BYTES])
    return text
