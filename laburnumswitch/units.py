"""Parses durations such as ``40m`` (minutes), memory such as ``2GB`` and numbers of CPU cores."""

import re
from math import ceil
from math import isfinite

MILLIS_PER_CORE = 1000
MS_PER_S = 1000.0
MAX_CORES = 1_000_000
MAX_MEMORY_MB = 1_000_000_000
MAX_SECONDS = 366 * 86_400.0

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3_600.0, "d": 86_400.0}
MEGABYTES_BY_UNIT = {
    "MB": 1.0,
    "GB": 1_000.0,
    "TB": 1_000_000.0,
    "MiB": 1.048_576,
    "GiB": 1_073.741_824,
    "TiB": 1_099_511.627_776,
}

_AMOUNT = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,9})?) ?([A-Za-z]+)", re.ASCII)


class Seconds(float):
    """A duration in seconds, written as ``5s``, ``40m``, ``1.5h`` or ``250ms``."""


class Megabytes(int):
    """Memory in megabytes of 10^6 bytes, written as ``512MB``, ``2GB`` or ``2GiB``."""


class CpuMillis(int):
    """CPU in thousandths of a core, written as a number of cores such as ``0.5``."""


def decode_amount(target: type, value: object) -> object:
    """Decode a value to one of this module's types; used as msgspec's ``dec_hook``.

    :raises ValueError: if ``value`` is not a valid amount; msgspec adds the path of the field.
    """
    if target is Seconds:
        return _seconds(value)
    if target is Megabytes:
        return _megabytes(value)
    if target is CpuMillis:
        return _cpu_millis(value)
    raise NotImplementedError(target.__name__)


def _seconds(value: object) -> Seconds:
    amount_s = _amount(value, SECONDS_BY_UNIT, "a duration such as 250ms, 5s, 40m or 2h")
    if not 0 < amount_s <= MAX_SECONDS:
        raise ValueError("a duration must be above 0 and at most 366d")
    return Seconds(amount_s)


def _megabytes(value: object) -> Megabytes:
    amount_mb = _amount(value, MEGABYTES_BY_UNIT, "an amount of memory such as 512MB or 2GB")
    if not 0 < amount_mb <= MAX_MEMORY_MB:
        raise ValueError("memory must be above 0 and at most 1000TB")
    return Megabytes(ceil(amount_mb))


def _cpu_millis(value: object) -> CpuMillis:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        raise ValueError("expected a number of cores such as 4 or 0.5")
    if not 0 < value <= MAX_CORES:
        raise ValueError("cores must be above 0 and at most 1000000")
    return CpuMillis(ceil(round(value * MILLIS_PER_CORE, 6)))


def _amount(value: object, by_unit: dict[str, float], expected: str) -> float:
    match = _AMOUNT.fullmatch(value) if isinstance(value, str) else None
    if match is None or match[2] not in by_unit:
        raise ValueError(f"expected {expected}")
    return float(match[1]) * by_unit[match[2]]
