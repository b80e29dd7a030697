"""Looks up services by host name in the current configuration."""

from collections.abc import Callable

from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import Service


def make_service_lookup(
    current_configuration: Callable[[], Configuration],
) -> Callable[[str], Service | None]:
    """Return a function that maps a host to its service.

    Its index of hosts is rebuilt when the version of the configuration changes.
    """
    cached_version = -1
    by_host: dict[str, Service] = {}

    def service_by_host(host: str) -> Service | None:
        nonlocal cached_version, by_host
        configuration = current_configuration()
        if configuration.version != cached_version:
            services = configuration.services
            by_host = {name: service for service in services for name in service.hosts}
            cached_version = configuration.version
        return by_host.get(host)

    return service_by_host
