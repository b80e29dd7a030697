"""Minimal stand-in for one rack that answers exchanges with canned reports over HTTP.

Run as ``python -m scripts.capacity_rack WORKERS RUNS``; prints its port and serves until
standard input is closed.
"""

import sys

from gevent import spawn
from gevent.os import tp_read
from gevent.pywsgi import WSGIServer
from msgspec import convert
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.connection.server import NoDelayServer
from laburnumswitch.process.workers.worker_api import ReportedRun
from laburnumswitch.process.workers.worker_api import Usage
from laburnumswitch.process.workers.worker_api import WorkerOrders
from laburnumswitch.process.workers.worker_api import WorkerReply


def task_name(worker: int, run: int) -> str:
    """Return a task name in the format used for job tasks."""
    return f"weekly-comparison-{worker}@20261203T020000Z:{run}"


def make_response(workers: int, runs: int, full: bool, usage: bool) -> bytes:
    """Return the encoded reports of all workers of the rack."""
    by_worker = {}
    for worker in range(workers):
        names = [task_name(worker, run) for run in range(runs)]
        run_reports = tuple(ReportedRun(name, 1, 20_000) for name in names) if full else None
        usages = tuple(Usage(name, 2_200, 8_900, 1.1) for name in names) if usage else ()
        by_worker[f"w{worker:05d}"] = WorkerReply(
            f"boot-{worker:08x}", 1.5, 1, (), run_reports, usages
        )
    return encode((by_worker,))


def serve(workers: int, runs: int) -> None:
    """Serve until standard input is closed."""
    short_report = make_response(workers, runs, False, False)
    full_report = make_response(workers, runs, True, True)

    def handle_request(environ, start_response):
        orders = convert(decode(environ["wsgi.input"].read())["by_worker"], dict[str, WorkerOrders])
        full = any(each.full for each in orders.values())
        body = full_report if full else short_report
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    server: WSGIServer = NoDelayServer(("127.0.0.1", 0), handle_request, log=None)
    server.start()
    print(server.server_port, flush=True)
    spawn(server.serve_forever)
    tp_read(sys.stdin.fileno(), 1)


if __name__ == "__main__":
    serve(int(sys.argv[1]), int(sys.argv[2]))
