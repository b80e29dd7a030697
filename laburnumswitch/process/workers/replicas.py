"""Lists the running replicas of a shard for the request path."""

from laburnumswitch.process.ledger.evacuation import Evacuation
from laburnumswitch.process.ledger.ledger import Ledger
from laburnumswitch.process.workers.shard_workers import ShardWorkers
from laburnumswitch.process.workers.work import name_run
from laburnumswitch.process.workers.work import TaskKey
from laburnumswitch.upstream import Upstream


def list_upstreams(
    ledger: Ledger, workers: ShardWorkers, moves: Evacuation
) -> tuple[Upstream, ...]:
    """Return every replica whose start was confirmed with a port."""
    upstreams = []
    for group in ledger.group_by_number.values():
        if not group.work.service:
            continue
        for index, run in group.running.items():
            worker = ledger.worker_by_number[run.worker]
            state = workers.state_by_worker_id.get(worker.worker_id)
            key = TaskKey(group.number, index)
            port = state.port_by_key.get(key, 0) if state else 0
            if not port:
                continue
            host = state.address.rpartition(":")[0] or state.address
            leaving = key in moves.leaving_since_by_key or key in state.stop_by_key
            upstreams.append(
                Upstream(
                    name_run(group.task_id(index), run.run),
                    group.work.service,
                    f"{host}:{port}",
                    worker.availability_zone,
                    worker.worker_id,
                    group.work.slots,
                    leaving or group.is_cancelled,
                )
            )
    return tuple(upstreams)
