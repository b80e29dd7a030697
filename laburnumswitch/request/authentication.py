"""Authentication of callers by API key.

Handles load of calls with missing, unknown and revoked keys, which are refused without reading a
body, and of keys that are revoked while this entry cannot read the configuration.
"""

from typing import NamedTuple

from laburnumswitch.exceptions import KeyNotAccepted
from laburnumswitch.process.dispatch.job_spec import key_digest
from laburnumswitch.process.dispatch.job_spec import Queue
from laburnumswitch.process.dispatch.job_spec import QueueConfiguration

SCHEME = "bearer"
# Length of the digests that are logged, in hexadecimal digits: enough to find a key among those of
# the configuration.
LOGGED_DIGITS = 12
STATUS_UNAUTHORIZED = 401
STATUS_UNAVAILABLE = 503


class Revocation(NamedTuple):
    """How long keys are accepted by a configuration that is not confirmed any more.

    :ivar is_strict: whether there is a limit.
    :ivar max_age_s: time since the last confirmation.
    """

    is_strict: bool = False
    max_age_s: float = 5.0


def authenticate(
    configuration: QueueConfiguration | None,
    queue: Queue,
    authorization: str,
    confirmed_age_s: float,
    revocation: Revocation,
) -> str | KeyNotAccepted:
    """Return the name of the caller's organisation, empty if the queue requires no key.

    :param authorization: the header ``Authorization``, decoded as Latin-1.
    :param confirmed_age_s: time since the configuration was certainly the newest one.
    """
    if configuration is None:
        return KeyNotAccepted(STATUS_UNAVAILABLE, "no configuration")
    if not queue.requires_key:
        return ""
    key = _bearer_key(authorization)
    digest = key_digest(key) if key else ""
    if revocation.is_strict and confirmed_age_s > revocation.max_age_s:
        reason = "the configuration is not confirmed"
        return KeyNotAccepted(STATUS_UNAVAILABLE, reason, digest[:LOGGED_DIGITS])
    if not key:
        return KeyNotAccepted(STATUS_UNAUTHORIZED, "no key")
    for organisation in configuration.organisations_by_name.values():
        if digest in organisation.key_digests:
            return organisation.name
    return KeyNotAccepted(STATUS_UNAUTHORIZED, "unknown key", digest[:LOGGED_DIGITS])


def _bearer_key(authorization: str) -> bytes:
    """Return the key in the header, empty if it holds none."""
    scheme, _, key = authorization.strip().partition(" ")
    if scheme.lower() != SCHEME:
        return b""
    # WSGI decodes the bytes of headers as Latin-1.
    return key.strip().encode("latin-1", "backslashreplace")
