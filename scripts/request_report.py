"""Renders the page of the request path measurement from the figures of one run."""

from re import compile as compile_pattern
from statistics import median
from typing import NamedTuple


class ProxyCost(NamedTuple):
    """One round of the cost measurement: latencies in microseconds, rates per CPU second.

    Latencies are measured on one connection, rates on many.
    """

    direct_p50: float
    direct_p99: float
    relay_p50: float
    relay_p99: float
    entry_p50: float
    entry_p99: float
    relay_rate: float
    entry_rate: float


class PolicyResult(NamedTuple):
    """Figures of one policy with one seed; shares are fractions, latencies in milliseconds.

    ``faulty_*``: one slow and one failing upstream at half load. ``overload_*`` and ``shed_*``:
    load of three times the capacity; the latter are ``None`` if nothing was shed.
    ``recovery_s``: seconds after the overload until requests are answered as before.
    """

    policy: str
    seed: int
    faulty_goodput: float
    faulty_p50: float
    faulty_p99: float
    overload_goodput: float
    overload_high: float
    shed_p50: float | None
    shed_p99: float | None
    sends_per_request: float
    recovery_s: float


class Results(NamedTuple):
    """All figures of one run."""

    python: str
    processors: int
    seeds: tuple[int, ...]
    cost: tuple[ProxyCost, ...]
    profile: tuple[str, ...]
    policies: tuple[PolicyResult, ...]


NO_LIMIT = float("inf")
PRODUCT_POLICY = "product"
WAIT_FUNCTION = "_wait_for_end"
OBJECT_ADDRESS = compile_pattern(r" at 0x[0-9a-f]+")
COLUMNS = (
    ("faulty_goodput", "goodput, faulty", 3),
    ("faulty_p50", "p50 ms, faulty", 0),
    ("faulty_p99", "p99 ms, faulty", 0),
    ("overload_goodput", "goodput / capacity, 3x", 3),
    ("overload_high", "high priority answered, 3x", 3),
    ("shed_p50", "shed p50 ms", 1),
    ("shed_p99", "shed p99 ms", 1),
    ("sends_per_request", "sends / requests", 3),
    ("recovery_s", "recovery s", 1),
)


class Target(NamedTuple):
    """Limits for one figure that every seed of the product's policy must meet."""

    field: str
    title: str
    at_least: float
    at_most: float


TARGETS = (
    Target("overload_goodput", "goodput at 3x, of the capacity", 0.9, NO_LIMIT),
    Target("overload_high", "high priority answered at 3x", 0.99, NO_LIMIT),
    Target("shed_p99", "99% of shed requests told within, ms", 0.0, 50.0),
    Target("sends_per_request", "sends for each request", 0.0, 1.1),
    Target("recovery_s", "recovery after the overload, s", 0.0, 5.0),
)


def render(results: Results) -> str:
    """Return the page in Markdown."""
    return "\n".join(
        (
            "# Measurements of the request path",
            "",
            "Written by `python -m scripts.measure_request`; do not edit. Each figure is the median"
            " of one run's rounds with the lowest and highest in brackets. All processes share one"
            f" machine of {results.processors} processors with other work, Python"
            f" {results.python}.",
            "",
            *_cost_lines(results),
            "",
            *_policy_lines(results),
            "",
            *_target_lines(results),
            "",
        )
    )


def _cost_lines(results: Results) -> list[str]:
    rounds = results.cost
    added_p50 = [cost.entry_p50 - cost.direct_p50 for cost in rounds]
    added_p99 = [cost.entry_p99 - cost.direct_p99 for cost in rounds]
    relay_p50 = [cost.relay_p50 - cost.direct_p50 for cost in rounds]
    entry_rates = [cost.entry_rate for cost in rounds]
    relay_rates = [cost.relay_rate for cost in rounds]
    share = [cost.entry_rate / cost.relay_rate for cost in rounds]
    return [
        f"## Cost of the proxy ({len(rounds)} rounds)",
        "",
        "| figure | median [lowest, highest] |",
        "| --- | --- |",
        f"| direct call, p50 | {_spread([c.direct_p50 for c in rounds], 0)} µs |",
        f"| direct call, p99 | {_spread([c.direct_p99 for c in rounds], 0)} µs |",
        f"| added by an entry, p50 | {_spread(added_p50, 0)} µs |",
        f"| added by an entry, p99 | {_spread(added_p99, 0)} µs |",
        f"| added by a bare relay, p50 | {_spread(relay_p50, 0)} µs |",
        f"| entry, requests a processor second | {_spread(entry_rates, 0)} |",
        f"| bare relay, requests a processor second | {_spread(relay_rates, 0)} |",
        f"| entry's share of the relay's rate | {_spread(share, 2)} |",
        "",
        "The bare relay copies blocks between two sockets on the same event loop without looking"
        " into them, so its rate is the limit of the loop for a proxy.",
        "",
        "Where an entry's time goes, by cProfile, which slows Python code more than system calls;"
        " shares of all time, waiting included:",
        "",
        *(
            f"* `{OBJECT_ADDRESS.sub('', line)}`"
            for line in results.profile
            if not line.startswith(WAIT_FUNCTION)
        ),
    ]


def _policy_lines(results: Results) -> list[str]:
    by_policy: dict[str, list[PolicyResult]] = {}
    for result in results.policies:
        by_policy.setdefault(result.policy, []).append(result)
    names = list(by_policy)
    lines = [
        f"## Routing policies ({len(results.seeds)} seeds each, interleaved)",
        "",
        "Two entries before eight upstreams of four slots, 50 ms a request. *Faulty*: one upstream"
        " five times slower and one that fails everything, at half of the capacity. *3x*: offered"
        " load of three times the capacity, then recovery at half of it. Goodput counts answers"
        " with status 200 within a second, over requests offered, or over the capacity for 3x."
        " Recovery counts from the start of the following load, about a second after the overload"
        " ends; 5.0 means that it did not recover while it was watched. The baselines have no"
        " limits, so they shed nothing.",
        "",
        f"| figure | {' | '.join(names)} |",
        f"| --- |{' --- |' * len(names)}",
    ]
    for field, title, digits in COLUMNS:
        cells = [
            _spread([getattr(result, field) for result in by_policy[name]], digits)
            for name in names
        ]
        lines.append(f"| {title} | {' | '.join(cells)} |")
    return lines


def _target_lines(results: Results) -> list[str]:
    product_results = [result for result in results.policies if result.policy == PRODUCT_POLICY]
    lines = [
        "## Targets under overload, seed by seed",
        "",
        "| target | limit | median [lowest, highest] | seeds within it |",
        "| --- | --- | --- | --- |",
    ]
    for target in TARGETS:
        values = [getattr(result, target.field) for result in product_results]
        seeds_within = sum(
            value is not None and target.at_least <= value <= target.at_most for value in values
        )
        limit = f"≤ {target.at_most}" if target.at_least == 0.0 else f"≥ {target.at_least}"
        spread = _spread(values, 3)
        lines.append(f"| {target.title} | {limit} | {spread} | {seeds_within} of {len(values)} |")
    return lines


def _spread(values: list[float | None], digits: int) -> str:
    known = [value for value in values if value is not None]
    if not known:
        return "none"
    return f"{median(known):.{digits}f} [{min(known):.{digits}f}, {max(known):.{digits}f}]"
