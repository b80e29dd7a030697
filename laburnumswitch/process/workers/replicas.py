"""Upstreams of a shard: its running replicas, as the request path needs them."""

from laburnumswitch.process.ledger.evacuation import Evacuation
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.workers.shard_workers import ShardWorkers
from laburnumswitch.process.workers.task_spec import LedgerTaskKey
from laburnumswitch.process.workers.task_spec import make_run_id
from laburnumswitch.upstream import Upstream


def list_upstreams(
    ledger: Ledger, workers: ShardWorkers, evacuation: Evacuation
) -> tuple[Upstream, ...]:
    """Return every replica whose start has been confirmed and whose port is known."""
    upstreams = []
    for group in ledger.group_by_number.values():
        if not group.task_spec.service:
            continue
        for index, run in group.running.items():
            worker = ledger.worker_by_number[run.worker]
            state = workers.state_by_worker_id.get(worker.worker_id)
            key = LedgerTaskKey(group.number, index)
            port = state.port_by_key.get(key, 0) if state else 0
            if not port:
                continue
            host = state.address.rpartition(":")[0] or state.address
            leaving = key in evacuation.leaving_since_by_key or key in state.stop_by_key
            upstreams.append(
                Upstream(
                    make_run_id(group.task_id(index), run.run),
                    group.task_spec.service,
                    f"{host}:{port}",
                    worker.availability_zone,
                    worker.worker_id,
                    group.task_spec.slots,
                    leaving or group.is_cancelled,
                )
            )
    return tuple(upstreams)
