"""Every kind of event that an entry records, for the code, the pages and the tests."""

from typing import get_args
from typing import Literal

EventKind = Literal[
    "answer_cut",
    "batch_refused",
    "claim_not_settled",
    "claim_refused",
    "claimed",
    "commit_failed",
    "commit_unknown",
    "configuration_adopted",
    "configuration_refused",
    "connection_retired",
    "drained",
    "eviction",
    "job_admitted",
    "job_cancelled",
    "job_failed",
    "job_finished",
    "job_impossible",
    "job_waiting",
    "outcome",
    "retry",
    "run_ended",
    "run_started",
    "service_changed",
    "shard_lost",
    "shard_released",
    "shard_taken_over",
    "shed",
    "tasks_given_away",
    "upstream_ejected",
    "upstream_leaving",
    "zone_state",
]

KINDS: frozenset[str] = frozenset(get_args(EventKind))
