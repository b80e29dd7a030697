"""Kinds of timeline events, each with the type of its subject."""

from collections.abc import Mapping
from typing import Literal

SubjectType = Literal[
    "job", "request", "service", "shard", "task", "upstream", "version", "vm", "zone"
]

SUBJECT_BY_KIND: Mapping[str, SubjectType] = {
    "answer_cut": "request",
    "batch_refused": "shard",
    "claim_not_settled": "vm",
    "claim_refused": "request",
    "claimed": "request",
    "commit_failed": "shard",
    "commit_unknown": "shard",
    "configuration_adopted": "version",
    "configuration_refused": "version",
    "connection_retired": "upstream",
    "drained": "vm",
    "eviction": "task",
    "job_admitted": "job",
    "job_cancelled": "job",
    "job_failed": "job",
    "job_finished": "job",
    "job_impossible": "job",
    "job_waiting": "job",
    "outcome": "request",
    "retry": "request",
    "run_ended": "task",
    "run_started": "task",
    "service_changed": "service",
    "shard_lost": "shard",
    "shard_released": "shard",
    "shard_taken_over": "shard",
    "shed": "service",
    "tasks_given_away": "job",
    "upstream_ejected": "upstream",
    "upstream_stalled": "upstream",
    "upstream_leaving": "upstream",
    "zone_state": "zone",
}
KINDS: frozenset[str] = frozenset(SUBJECT_BY_KIND)
