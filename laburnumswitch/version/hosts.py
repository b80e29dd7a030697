"""Finds the service of a host in the configuration in force."""

from collections.abc import Callable

from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import Service


def make_service_by_host(
    configuration_in_force: Callable[[], Configuration],
) -> Callable[[str], Service | None]:
    """Return a function from host to service, which keeps its table until the version changes."""
    built_for = -1
    by_host: dict[str, Service] = {}

    def service_by_host(host: str) -> Service | None:
        nonlocal built_for, by_host
        configuration = configuration_in_force()
        if configuration.version != built_for:
            services = configuration.services
            by_host = {name: service for service in services for name in service.hosts}
            built_for = configuration.version
        return by_host.get(host)

    return service_by_host
