"""Parser of a single HTTP response that detects bytes beyond its end."""

from geventhttpclient.response import HTTPParseError
from geventhttpclient.response import HTTPResponse

FIRST_FINAL_STATUS = 200


class ResponseParser(HTTPResponse):
    """Parses one response; bytes beyond its end set ``has_surplus`` instead of starting another.

    :ivar received_bytes: length of all blocks, heads and surplus included.
    """

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self.is_complete = False
        self.has_surplus = False
        self.received_bytes = 0
        self.header_fields: list[tuple[str, str]] = []
        self._name = ""
        self._value = ""
        self._in_value = False

    def take_body(self) -> bytes:
        """Remove and return the part of the body that has been parsed so far."""
        block = bytes(self._body_buffer)
        self._body_buffer.clear()
        return block

    def declared_body_length(self) -> int | None:
        """Return the length of the body in bytes, if the head declares it."""
        for name, value in self.header_fields:
            if name.lower() == "content-length":
                return int(value)
        return None

    def feed(self, data: bytes) -> None:
        """Parse one block; an empty one marks the end of the stream."""
        self.received_bytes += len(data)
        try:
            super().feed(data)
        except HTTPParseError:
            if not self.is_complete:
                raise
            self.has_surplus = True

    def _on_message_begin(self) -> None:
        if self.is_complete:
            self.has_surplus = True
            raise HTTPParseError("bytes after the end of the response")
        self.header_fields.clear()
        super()._on_message_begin()

    def _on_header_field(self, string: str) -> None:
        if self._in_value:
            self._flush_header()
        self._name += string

    def _on_header_value(self, string: str) -> None:
        self._in_value = True
        self._value += string

    def _flush_header(self) -> None:
        if self._name:
            self.header_fields.append((self._name, self._value))
        self._name = self._value = ""
        self._in_value = False

    def _on_body(self, buf: bytearray) -> None:
        if not self.has_surplus:
            super()._on_body(buf)

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        if self.get_code() >= FIRST_FINAL_STATUS:
            self.is_complete = True
