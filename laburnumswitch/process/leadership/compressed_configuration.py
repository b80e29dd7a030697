"""Compressed form of the configuration that an entry sends to others.

Handles a configuration of many routes that changes often: all watchers of the owner fetch each
version, over links that carry it in its plain form for as long as the next change takes.
"""

from gzip import compress

from msgspec.json import encode

from laburnumswitch.process.leadership.messages import RelayedConfiguration

# Fast: higher levels take several times the processor time for little.
LEVEL = 1


class CompressedConfigurations:
    """Encodes ``RelayedConfiguration`` as compressed JSON, each version once."""

    def __init__(self) -> None:
        self._version = 0
        self._configuration = b""

    def encode(self, relayed: RelayedConfiguration) -> bytes:
        """Return the message as members of gzip, of which the largest is kept for the next call."""
        version = relayed.configuration.version
        if version != self._version:
            self._configuration = compress(b"[" + encode(relayed.configuration) + b",", LEVEL)
            self._version = version
        return self._configuration + compress(encode(relayed.confirmed_age_s) + b"]", LEVEL)
