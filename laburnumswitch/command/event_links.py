"""Cause-and-effect links between events, derived from their subjects."""

from collections.abc import Iterable

from laburnumswitch.command.events import details_of
from laburnumswitch.command.events import EventDict
from laburnumswitch.command.events import kind_of
from laburnumswitch.command.events import subject_of
from laburnumswitch.process.observing.event_kinds import SUBJECT_BY_KIND

MAX_LINKS = 5_000
CLAIM_CHAIN = "claim"

CausalLink = tuple[EventDict, EventDict]
ChainKey = tuple[str, str]


def find_links(events: Iterable[EventDict]) -> list[CausalLink]:
    """Return pairs of a cause and its next effect; ``events`` must be in causal order.

    Consecutive events of one subject are linked, and so are those of requests under one claim. The
    first event of a task is linked to the latest one of its job.
    """
    latest_by_chain: dict[ChainKey, EventDict] = {}
    links: list[CausalLink] = []
    for event in events:
        chain_keys = _chain_keys(event)
        cause = latest_by_chain.get(chain_keys[0]) or _latest_job_event(event, latest_by_chain)
        if cause is not None:
            links.append((cause, event))
        for chain_key in chain_keys[1:]:
            earlier = latest_by_chain.get(chain_key)
            if earlier is not None and earlier is not cause:
                links.append((earlier, event))
        latest_by_chain.update(dict.fromkeys(chain_keys, event))
    return links[-MAX_LINKS:]


def _chain_keys(event: EventDict) -> tuple[ChainKey, ...]:
    subject_chain = (SUBJECT_BY_KIND.get(kind_of(event), kind_of(event)), subject_of(event))
    row = details_of(event).get("row")
    return (subject_chain, (CLAIM_CHAIN, row)) if isinstance(row, str) else (subject_chain,)


def _latest_job_event(
    event: EventDict, latest_by_chain: dict[ChainKey, EventDict]
) -> EventDict | None:
    if SUBJECT_BY_KIND.get(kind_of(event)) != "task":
        return None
    return latest_by_chain.get(("job", subject_of(event).rpartition(":")[0]))
