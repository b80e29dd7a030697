"""Command line of the stand-ins, each of which is a process of its own."""

from random import Random

import click
from gevent import spawn

from laburnumswitch.size import Size
from standin.load_generator import LoadGenerator
from standin.platform import Platform
from standin.rack import Rack
from standin.rack import RackSettings
from standin.records import record_appender
from standin.server import bound_address
from standin.server import start_server
from standin.table import MemoryTable
from standin.vms import MemoryVmList

WRITES_PER_S = 400
READS_PER_S = 2_000


@click.group()
def main() -> None:
    """Serve stand-ins for the platform, its workers and the callers."""


@main.command()
@click.option("--address", required=True, help="IP:port to listen on; port 0 picks one.")
@click.option("--records", required=True, help="File that records are appended to.")
@click.option("--writes-per-s", default=WRITES_PER_S, show_default=True)
@click.option("--reads-per-s", default=READS_PER_S, show_default=True)
@click.option("--list-lag-s", default=1.0, show_default=True, help="Lag of the list of VMs.")
def platform(
    address: str, records: str, writes_per_s: int, reads_per_s: int, list_lag_s: float
) -> None:
    """Serve the table, the object store and the list of VMs."""
    state = Platform(
        MemoryTable(writes_per_s, reads_per_s), MemoryVmList(list_lag_s), record_appender(records)
    )
    server = start_server(address, state.handle)
    click.echo(bound_address(server))
    server.serve_forever()


@main.command()
@click.option("--address", required=True, help="IP:port to listen on; port 0 picks one.")
@click.option("--records", required=True, help="File that records are appended to.")
@click.option("--rack", required=True)
@click.option("--zone", required=True)
@click.option("--first", default=1, show_default=True, help="Number of the first worker.")
@click.option("--count", default=8, show_default=True)
@click.option("--cpu-millis", default=64_000, show_default=True)
@click.option("--memory-mb", default=250_000, show_default=True)
@click.option("--accelerators", default=0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--speed", default=1.0, show_default=True, help="Speed of batch tasks.")
@click.option("--delay-ms", default=1.0, show_default=True, help="One-way delay to the entries.")
@click.option("--checkpoints", required=True, help="Directory of saved states.")
def workers(
    address: str,
    records: str,
    rack: str,
    zone: str,
    first: int,
    count: int,
    cpu_millis: int,
    memory_mb: int,
    accelerators: int,
    seed: int,
    speed: float,
    delay_ms: float,
    checkpoints: str,
) -> None:
    """Serve the workers of one rack and the replicas that they run."""
    settings = RackSettings(
        rack,
        address.rpartition(":")[0],
        zone,
        first,
        count,
        Size(cpu_millis, memory_mb, accelerators),
        seed,
        speed,
        checkpoints,
        delay_ms / 1000,
    )
    state = Rack(settings, record_appender(records))
    server = start_server(address, state.handle)
    click.echo(bound_address(server))
    spawn(state.run)
    server.serve_forever()


@main.command()
@click.option("--address", required=True, help="IP:port of the launcher's calls; port 0 picks one.")
@click.option("--records", required=True, help="File that records are appended to.")
@click.option("--seed", default=1, show_default=True)
@click.option("--delay-ms", default=1.0, show_default=True, help="One-way delay to the entries.")
def callers(address: str, records: str, seed: int, delay_ms: float) -> None:
    """Send callers' requests through the entries that are ready."""
    state = LoadGenerator(record_appender(records), Random(seed), delay_ms / 1000)
    server = start_server(address, state.handle)
    click.echo(bound_address(server))
    spawn(state.balancer.run)
    server.serve_forever()


if __name__ == "__main__":
    main()
