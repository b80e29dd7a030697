"""Addresses of the form ``host:port``."""

from ipaddress import AddressValueError
from ipaddress import IPv4Address
from typing import NamedTuple

MAX_PORT = 65_535


class Address(NamedTuple):
    """A host name or IP address, and a port."""

    host: str
    port: int


def parse_address(address: str) -> Address | None:
    """Parse an address such as ``10.0.0.7:8300``, or return ``None`` if it is malformed."""
    host, _, port = address.rpartition(":")
    if not is_header_text(host) or not (port.isascii() and port.isdecimal()):
        return None
    # Longer numbers are not ports, and converting thousands of digits is an error.
    number = int(port) if len(port) <= len(str(MAX_PORT)) else 0
    return Address(host, number) if 1 <= number <= MAX_PORT else None


def is_numeric(host: str) -> bool:
    """Return whether a host is an IPv4 address, which needs no name lookup."""
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return True


def is_header_text(text: str) -> bool:
    """Return whether a text can stand in a header of a request, as a host or an id."""
    return bool(text) and text.isascii() and text.isprintable() and " " not in text
