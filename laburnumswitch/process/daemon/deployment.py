"""Deployment data of one entry of the dispatch daemon, from the platform's settings."""

from typing import NamedTuple


class Bounds(NamedTuple):
    """Times, in seconds, and factors that the platform guarantees or requires.

    ``lease_s`` is the longest lease that a worker grants, ``max_overrun_s`` how long a tail latency
    may exceed its target, ``far_factor`` the factor by which a task takes longer away from its
    data, ``throttle_delay_s`` the delay of a throttle, and ``quota_overage`` the share by which
    what an organisation has running may exceed its limit for a short time.

    :ivar configuration_s: time after which a new version of the configuration is in force.
    :ivar is_revocation_strict: whether API keys are refused once the configuration was last
        confirmed more than ``revocation_s`` ago.
    """

    drain_s: float
    grace_s: float
    lease_s: float
    stop_s: float
    max_overrun_s: float
    far_factor: float
    restore_s: float
    throttle_delay_s: float
    quota_overage: float = 0.1
    configuration_s: float = 3.0
    is_revocation_strict: bool = False
    revocation_s: float = 5.0


class Deployment(NamedTuple):
    """Addresses, location and size of one entry. Addresses are ``IP:port``, empty if absent.

    :ivar max_sockets: number of descriptors that the process may use for connections.
    """

    vm_id: str
    availability_zone: str
    caller_address: str
    health_address: str
    peer_address: str
    store_address: str
    advice_address: str
    cpu_cores: float
    memory_mb: int
    bounds: Bounds
    max_sockets: int = 1024
    vm_list_address: str = ""
