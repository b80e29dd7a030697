"""Parses one answer, and never takes bytes beyond its end for a part of it."""

from geventhttpclient.response import HTTPParseError
from geventhttpclient.response import HTTPResponse

FIRST_FINAL_STATUS = 200


class AnswerParser(HTTPResponse):
    """Parser of one answer that reports bytes beyond its end in place of reading them as next."""

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self.whole = False
        self.surplus = False
        self.fields: list[tuple[str, str]] = []
        self._name = ""
        self._value = ""
        self._in_value = False

    def take_body(self) -> bytes:
        """Return the part of the body that was parsed and not yet taken."""
        block = bytes(self._body_buffer)
        self._body_buffer.clear()
        return block

    def declared_length(self) -> int | None:
        """Return the length of the body in bytes, if the head declares it."""
        for name, value in self.fields:
            if name.lower() == "content-length":
                return int(value)
        return None

    def feed(self, data: bytes) -> None:
        """Parse one block; an empty one is the end of the stream."""
        try:
            super().feed(data)
        except HTTPParseError:
            if not self.whole:
                raise
            self.surplus = True

    def _on_message_begin(self) -> None:
        if self.whole:
            self.surplus = True
            raise HTTPParseError("bytes after the answer")
        self.fields.clear()
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
            self.fields.append((self._name, self._value))
        self._name = self._value = ""
        self._in_value = False

    def _on_body(self, buf: bytearray) -> None:
        if not self.surplus:
            super()._on_body(buf)

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        if self.get_code() >= FIRST_FINAL_STATUS:
            self.whole = True
