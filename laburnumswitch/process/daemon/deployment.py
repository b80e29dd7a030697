"""What one entry knows of the deployment that it runs in, from its settings."""

from typing import NamedTuple


class Bounds(NamedTuple):
    """Times, in seconds, and factors that the platform promises or asks for."""

    drain_s: float
    grace_s: float
    lease_s: float
    stop_s: float
    harm_s: float
    far_factor: float
    restore_s: float
    throttle_delay_s: float


class Deployment(NamedTuple):
    """Addresses, place and size of one entry. Addresses are ``IP:port``; empty where absent."""

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
