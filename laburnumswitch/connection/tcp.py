"""Outgoing TCP connections."""

from errno import EINVAL

from gevent import socket

from laburnumswitch.connection.address import Address
from laburnumswitch.connection.address import is_numeric


def open_connection(address: Address, timeout_s: float) -> socket.socket:
    """Return a connected socket, whose operations have the same time limit.

    A numeric address is not looked up: lookups share a few threads, which names whose server does
    not answer would occupy.

    :raises OSError: also if the host cannot be looked up as a name.
    """
    if not is_numeric(address.host):
        try:
            return socket.create_connection(address, timeout=timeout_s)
        except UnicodeError as error:
            raise OSError(EINVAL, str(error)) from error
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return sock
