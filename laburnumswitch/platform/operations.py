"""Rows written by operators: configuration, evacuated zones and maintenance waves."""

from typing import Any

from msgspec import convert
from msgspec import Struct
from msgspec import ValidationError

from laburnumswitch.exceptions import RowMalformed
from laburnumswitch.process.dispatch.job_spec import key_digest
from laburnumswitch.process.dispatch.job_spec import Limits
from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.operating.operations import MaintenanceWave
from laburnumswitch.process.operating.operations import Operation
from laburnumswitch.process.operating.operations import ZoneOrder
from laburnumswitch.process.rows.table import Row
from laburnumswitch.size import Size
from laburnumswitch.units import MS_PER_S

OPERATIONS_TABLE = "op"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
WAVE_PREFIX = "op/wave/"


class _AdviceSettings(
    Struct, rename={"decide_ms": "decideMs", "each_ms": "eachMs", "valid_ms": "validMs"}
):
    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


class _Route(
    Struct,
    rename={
        "path_prefix": "pathPrefix",
        "timeout_ms": "timeoutMs",
        "target_duration_ms": "targetDurationMs",
        "max_attempts": "maxAttempts",
        "is_public": "public",
    },
):
    # A route defines a queue; ``targetDurationMs`` is the constant part of its target duration.
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: float = 3000.0
    target_duration_ms: float = 1000.0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: _AdviceSettings | None = None
    # Whether callers need no API key.
    is_public: bool | None = None


class _Service(Struct, rename={"rejects_overload": "rejectsOverload"}):
    name: str
    # Whether the service's workers refuse work beyond their capacity.
    rejects_overload: bool = False


class _Limits(
    Struct,
    frozen=True,
    rename={
        "body_bytes": "maxBodyBytes",
        "idle_ms": "idleTimeoutMs",
        "head_bytes": "maxHeaderBytes",
        "head_ms": "headerTimeoutMs",
    },
):
    body_bytes: int = 262_144
    idle_ms: float = 15_000.0
    head_bytes: int = 16_384
    head_ms: float = 3_000.0


class _MaxCount(Struct, frozen=True, rename={"memory_mb": "memMb"}):
    # What all running tasks of a tenant may use together; ``cpu`` is in thousandths of a core.
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0


class _Tenant(Struct, rename={"api_keys": "apiKeys", "max_count": "maxCount"}):
    name: str
    api_keys: list[str] = []
    # Jobs per second that the tenant is owed, and its share while work waits.
    weight: float = 1.0
    max_count: _MaxCount = _MaxCount()


class _Configuration(Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class _Wave(Struct, rename={"number": "wave", "duration_s": "durationS", "max_count": "maxCount"}):
    number: int
    machines: tuple[str, ...]
    duration_s: float = 0.0
    max_count: int = 1


def decode_configuration(value: Any) -> QueueConfiguration | RowMalformed:
    """Decode one version of the configuration."""
    try:
        fields = convert(value, _Configuration)
    except ValidationError as error:
        return RowMalformed(CONFIGURATION_KEY, str(error))
    return QueueConfiguration(
        fields.version,
        {route.name: _to_queue(route, fields.tenants is not None) for route in fields.routes},
        {service.name: service.rejects_overload for service in fields.services},
        Limits(
            fields.limits.body_bytes,
            fields.limits.idle_ms / MS_PER_S,
            fields.limits.head_bytes,
            fields.limits.head_ms / MS_PER_S,
        ),
        {tenant.name: _to_organisation(tenant) for tenant in fields.tenants or ()},
    )


def decode_wave(key: str, value: Any) -> MaintenanceWave | RowMalformed:
    """Decode a maintenance wave."""
    try:
        wave = convert(value, _Wave)
    except ValidationError as error:
        return RowMalformed(key, str(error))
    return MaintenanceWave(wave.number, wave.machines, wave.duration_s, wave.max_count)


def _to_organisation(tenant: _Tenant) -> Organisation:
    limit = tenant.max_count
    return Organisation(
        tenant.name,
        tenant.weight,
        Size(limit.cpu, limit.memory_mb, limit.gpu),
        tuple(key_digest(key.encode()) for key in tenant.api_keys),
    )


def _to_queue(route: _Route, has_tenants: bool) -> Queue:
    is_public = not has_tenants if route.is_public is None else route.is_public
    advice = route.advice or _AdviceSettings()
    return Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        objective_s=route.target_duration_ms / MS_PER_S,
        timeout_s=route.timeout_ms / MS_PER_S,
        needs_advice=route.advice is not None,
        advice_base_s=advice.decide_ms / MS_PER_S,
        advice_per_worker_s=advice.each_ms / MS_PER_S,
        advice_valid_s=advice.valid_ms / MS_PER_S,
        requires_key=not is_public,
    )


def decode_operation(row: Row) -> Operation | RowMalformed | None:
    """Decode an operator's row.

    :return: ``None`` for a row of an unknown kind, and for a removed configuration or wave.
    """
    if row.key == CONFIGURATION_KEY and row.value is not None:
        return decode_configuration(row.value)
    if row.key.startswith(EVACUATION_PREFIX):
        return ZoneOrder(row.key.removeprefix(EVACUATION_PREFIX), row.value is not None)
    if row.key.startswith(WAVE_PREFIX) and row.value is not None:
        return decode_wave(row.key, row.value)
    return None
