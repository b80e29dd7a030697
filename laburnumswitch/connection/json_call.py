"""JSON calls to the platform, the workers and the peers, with typed responses."""

from collections.abc import Mapping
from gzip import decompress
from typing import TypeVar
from zlib import error as zlib_error

from msgspec import DecodeError
from msgspec import ValidationError
from msgspec.json import encode

from laburnumswitch.connection.client import Client
from laburnumswitch.connection.client import NO_HEADERS
from laburnumswitch.connection.client import Response
from laburnumswitch.connection.lenient import decode_known_fields
from laburnumswitch.exceptions import AnswerLost
from laburnumswitch.exceptions import AnswerMalformed
from laburnumswitch.exceptions import ConnectFailed
from laburnumswitch.exceptions import Refused
from laburnumswitch.exceptions import Throttled

# The platform answers a commit whose condition failed with the current rows. They are parsed from
# the reason of the refusal, which must be long enough to hold them.
MAX_REASON_BYTES = 65_536
STATUS_OK = 200
STATUS_TOO_MANY_REQUESTS = 429
# Asks for a compressed answer, which servers that cannot compress ignore.
GZIP = "gzip"
ACCEPT_GZIP = {"Accept-Encoding": GZIP}

T = TypeVar("T")


def call_json(
    client: Client,
    method: str,
    target: str,
    body: object,
    response_type: type[T],
    timeout_s: float = 2.0,
    transfer_s: float = 0.0,
    extra_headers: Mapping[str, str] = NO_HEADERS,
) -> T | ConnectFailed | AnswerLost | AnswerMalformed | Refused | Throttled:
    """Send ``body`` as JSON and decode the response as ``response_type``.

    :param body: anything msgspec encodes, or ``None`` for a request without a body.
    :param transfer_s: how much longer a large answer may take, see ``Client.call``.
    :param extra_headers: such as ``ACCEPT_GZIP``.
    """
    payload = b"" if body is None else encode(body)
    response = client.call(
        method, target, payload, timeout_s, extra_headers=extra_headers, transfer_s=transfer_s
    )
    if isinstance(response, ConnectFailed | AnswerLost):
        return response
    if response.status == STATUS_TOO_MANY_REQUESTS:
        return Throttled(_retry_after_s(response.headers))
    if response.status != STATUS_OK:
        reason = response.body[:MAX_REASON_BYTES].decode("utf-8", "replace")
        return Refused(client.address, response.status, reason)
    try:
        return decode_known_fields(_decoded_body(response), response_type)
    except (DecodeError, ValidationError, OSError, EOFError, zlib_error) as error:
        return AnswerMalformed(client.address, str(error))


def _decoded_body(response: Response) -> bytes:
    encodings = [value for name, value in response.headers if name.lower() == "content-encoding"]
    return decompress(response.body) if GZIP in encodings else response.body


def _retry_after_s(headers: tuple[tuple[str, str], ...]) -> float:
    for name, value in headers:
        if name.lower() == "retry-after" and value.replace(".", "", 1).isdigit():
            return float(value)
    return 1.0
