"""The emulated store as an availability zone sees it, where all addresses differ.

A process of one zone thereby reaches the others by links of its own, which can be cut.
"""

from base64 import b64decode
from base64 import b64encode

from msgspec.json import decode
from msgspec.json import encode

from standin.server import Call
from standin.server import Handler
from standin.server import Reply

ROW_STATUSES = (200, 412)


def view_addresses(handle: Handler, stored: bytes, seen: bytes) -> Handler:
    """Return a handler like that of the store, which shows ``seen`` for ``stored`` in rows."""

    def handle_call(call: Call) -> Reply:
        reply = handle(call._replace(body=_replace_in_rows(call.body, seen, stored)))
        if reply.status not in ROW_STATUSES:
            return reply
        return reply._replace(body=_replace_in_rows(reply.body, stored, seen))

    return handle_call


def _replace_in_rows(body: bytes, old: bytes, new: bytes) -> bytes:
    if not body:
        return body
    message = decode(body)
    for rows in message.values():
        for row in rows if isinstance(rows, list) else ():
            if "value" in row:
                row["value"] = b64encode(b64decode(row["value"]).replace(old, new)).decode()
    return encode(message)
