"""The ``zones`` and ``zone`` commands, which take zones out of service and return them."""

from typing import Any

import click

from laburnumswitch.command.access import Access
from laburnumswitch.command.access import json_option
from laburnumswitch.command.access import operator_name
from laburnumswitch.command.access import resolve_target
from laburnumswitch.command.access import Target
from laburnumswitch.command.access import target_options
from laburnumswitch.command.operator_client import call_any_entry
from laburnumswitch.command.operator_client import call_or_read_platform
from laburnumswitch.command.operator_client import Rows
from laburnumswitch.command.output import fail
from laburnumswitch.command.output import print_rows
from laburnumswitch.command.output import warn
from laburnumswitch.exceptions import AnswerMalformed
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import UnknownZone
from laburnumswitch.exceptions import ZoneStillBusy
from laburnumswitch.process.daemon.settings import Platform
from laburnumswitch.process.operating.zones import read_zones
from laburnumswitch.process.operating.zones import set_zone
from laburnumswitch.process.operating.zones import ZoneState
from laburnumswitch.process.operating.zones import ZoneStatus
from laburnumswitch.process.peers.vms import Vm
from laburnumswitch.process.rows.table import Table
from laburnumswitch.units import decode_amount
from laburnumswitch.units import Seconds
from laburnumswitch.yamlfields import closest_name

WAIT_INTERVAL_S = 1.0
REQUIRED_EMPTY_READS = 3


@click.command()
@target_options
@json_option
@click.pass_obj
def zones(access: Access, as_json: bool, **options: Any) -> None:
    """Show the availability zones and whether they are in service.

    \b
    Examples:
      laburnumswitch zones --entry 10.0.0.7:8300 --key-file keys
      laburnumswitch zones --platform 10.0.0.2:7000 --json
    """
    target = resolve_target(**options)
    target.require_address()
    rows = call_or_read_platform(access, target, "/operator/zones", _read_zone_rows)
    if isinstance(rows, Failure):
        fail(rows, as_json)
    print_rows(rows, as_json)


@click.group()
def zone() -> None:
    """Take an availability zone out of service, or return it."""


@zone.command("out")
@click.argument("name")
@target_options
@click.option("--wait", is_flag=True, help="Wait until no task runs in the zone.")
@click.option("--wait-limit", default="10m", show_default=True, help="Longest wait.")
@click.option("--force", is_flag=True, help="Also where no VM is listed in the zone.")
@json_option
@click.pass_obj
def zone_out(
    access: Access,
    name: str,
    wait: bool,
    wait_limit: str,
    force: bool,
    as_json: bool,
    **options: Any,
) -> None:
    """Take the zone NAME out of service: no task starts there any more.

    --wait ends when every worker listed in the zone is reported on and runs nothing.

    While the platform's table is down nothing changes and the exit code is 4; no task can start in
    any zone meanwhile. Repeat the command when the table is back.

    \b
    Examples:
      laburnumswitch zone out az-2 --platform 10.0.0.2:7000
      laburnumswitch zone out az-2 --settings settings.yaml --wait --wait-limit 5m
    """
    target = resolve_target(**options)
    if wait and not target.entries:
        raise click.UsageError("--wait needs --entry ADDRESS or --settings FILE")
    limit_s = parse_seconds(wait_limit)
    updated = _set_zone_state(access, target, name, "out", force, as_json)
    if wait:
        busy = _wait_until_empty(access, target, name, limit_s)
        if busy is not None:
            fail(busy, as_json)
    _print_zone(updated, as_json)


@zone.command("in")
@click.argument("name")
@target_options
@click.option("--force", is_flag=True, help="Also where no VM is listed in the zone.")
@json_option
@click.pass_obj
def zone_in(access: Access, name: str, force: bool, as_json: bool, **options: Any) -> None:
    """Return the zone NAME to service.

    \b
    Example:
      laburnumswitch zone in az-2 --platform 10.0.0.2:7000
    """
    updated = _set_zone_state(access, resolve_target(**options), name, "in", force, as_json)
    _print_zone(updated, as_json)


def parse_seconds(text: str) -> float:
    """Parse a duration from the command line, or exit with a usage error."""
    try:
        return float(decode_amount(Seconds, text))
    except ValueError as error:
        raise click.UsageError(str(error)) from error


def _set_zone_state(
    access: Access, target: Target, name: str, state: ZoneStatus, force: bool, as_json: bool
) -> ZoneState:
    platform = target.require_platform()
    table = access.open_table(platform.table)
    if not force:
        unknown = _check_zone_name(access, platform, table, name)
        if unknown is not None:
            fail(unknown, as_json)
    outcome = set_zone(table, name, state, operator_name(), access.clock, access.sleep)
    if isinstance(outcome, Failure):
        fail(outcome, as_json)
    return outcome


def _check_zone_name(
    access: Access, platform: Platform, table: Table, name: str
) -> UnknownZone | None:
    vms = _live_vms(access, platform)
    if isinstance(vms, Failure):
        # Taking a zone out must work during an outage of the VM list, so its name goes unchecked.
        warn(vms)
        return None
    listed = {vm.availability_zone for vm in vms}
    if name in listed:
        return None
    states = read_zones(table)
    if not isinstance(states, Failure) and name in states:
        return None
    return UnknownZone(name, closest_name(name, listed))


def _read_zone_rows(access: Access, platform: Platform) -> Rows | Failure:
    states = read_zones(access.open_table(platform.table))
    if isinstance(states, Failure):
        return states
    vms = _live_vms(access, platform)
    if isinstance(vms, Failure):
        warn(vms)
        vms = ()
    names = sorted(states.keys() | {vm.availability_zone for vm in vms})
    return tuple(
        {
            "zone": name,
            "state": states.get(name, ZoneState(name)).state,
            "entries": _count_vms(vms, name, "entry"),
            "workers": _count_vms(vms, name, "worker"),
        }
        for name in names
    )


def _live_vms(access: Access, platform: Platform) -> tuple[Vm, ...] | Failure:
    changes = access.open_vms(platform.vms).changes_after(0)
    if isinstance(changes, Failure):
        return changes
    return tuple(vm for vm in changes.vms if vm.state != "gone")


def _count_vms(vms: tuple[Vm, ...], name: str, role: str) -> int:
    return sum(vm.availability_zone == name and vm.role == role for vm in vms)


def _wait_until_empty(
    access: Access, target: Target, name: str, timeout_s: float
) -> Failure | None:
    """Wait until ``REQUIRED_EMPTY_READS`` reads in a row show no run in the zone.

    One read is not enough: a start committed just before the zone was taken out may appear in the
    shard owner's view a little later.
    """
    deadline_s = access.clock() + timeout_s
    empty_reads = 0
    while True:
        busy = _find_unfinished(access, target, name)
        empty_reads = empty_reads + 1 if busy is None else 0
        if empty_reads == REQUIRED_EMPTY_READS:
            return None
        if busy is not None and access.clock() >= deadline_s:
            return busy
        access.sleep(WAIT_INTERVAL_S)


def _find_unfinished(access: Access, target: Target, name: str) -> Failure | None:
    """Return ``ZoneStillBusy`` if runs or unreported workers remain in a zone.

    ``None`` means that the zone is empty; other failures mean that its state could not be read.
    """
    vms = _live_vms(access, target.require_platform())
    if isinstance(vms, Failure):
        return vms
    response = call_any_entry(access, target, "GET", "/operator/workers")
    if isinstance(response, Failure):
        return response
    rows = [row for row in response.rows if row.get("availability_zone") == name]
    reported = {row.get("worker_id") for row in rows}
    listed = {vm.vm_id for vm in vms if vm.availability_zone == name and vm.role == "worker"}
    runs = [row.get("runs") for row in rows]
    if not all(isinstance(number, int) for number in runs):
        return AnswerMalformed(response.address, "worker row without a number of runs")
    unreported = len(listed - reported)
    if sum(runs) or unreported:
        return ZoneStillBusy(name, sum(runs), unreported)
    return None


def _print_zone(updated: ZoneState, as_json: bool) -> None:
    print_rows([{"zone": updated.name, "state": updated.state}], as_json)
