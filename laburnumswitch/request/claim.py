"""Claims of idempotency keys: rows that let a keyed request run at most once across all entries.

The claim row is created, on the condition that it is absent, before the request is sent upstream.
Each attempt has a unique id, so an attempt that lost the answer to its commit finds out by reading
whether it owns the row. Only the attempt that holds a row changes it. A released row is kept until
it expires: a delayed claim that requires the row to be absent then has no effect, and the next
claim is conditional on the version of the row.
"""

from base64 import b64decode
from base64 import b64encode
from hashlib import sha256
from typing import Literal
from typing import NamedTuple
from typing import TypedDict

from gevent import sleep
from gevent import spawn
from msgspec.json import decode
from msgspec.json import encode

from laburnumswitch.connection.request_reader import CallerRequest
from laburnumswitch.exceptions import AnswerNotKept
from laburnumswitch.exceptions import ClaimInProgress
from laburnumswitch.exceptions import Conflict
from laburnumswitch.exceptions import Failure
from laburnumswitch.exceptions import KeyReused
from laburnumswitch.exceptions import NotRun
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import RunUnknown
from laburnumswitch.exceptions import Throttled
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.admission.claim_committer import RowChange
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import Committed
from laburnumswitch.process.rows.table import Row
from laburnumswitch.request.context import RequestContext

ROW_FORMAT = 1
# Encoded answers up to this size are stored in the claim row, larger ones as objects.
MAX_ROW_ANSWER_BYTES = 8_192
# Answers with a larger body are not stored.
MAX_OBJECT_ANSWER_BYTES = 1_048_576
# Time after the deadline of a run before its claim counts as abandoned, in seconds.
EXPIRY_MARGIN_S = 2.0
CLAIM_FAILED = "the order could not be claimed"
# Attempts to find out by reading who holds a row, before the claim fails.
SETTLE_TRIES = 3
SETTLE_PAUSE_S = 0.05
# Attempts to write the result of a claim while the store fails.
WRITE_TRIES = 12
FIRST_WRITE_PAUSE_S = 0.1
MAX_WRITE_PAUSE_S = 5.0
DIGEST_HEX_CHARACTERS = 40

ClaimState = Literal["claimed", "answered", "unkept", "unknown", "released"]


class ClaimRow(TypedDict, total=False):
    """Value of a claim row. ``until_s`` is the Unix time by which a claimed run has ended.

    ``answer`` is a ``StoredAnswer`` in base64; a larger one is stored under the name ``object``.
    """

    format: int
    state: ClaimState
    attempt: str
    request: str
    entry: str
    until_s: float
    answer: str
    object: str


class Claim(NamedTuple):
    """A claim held by this attempt; ``version`` is the version of its row."""

    key: str
    version: int
    row: ClaimRow


class StoredAnswer(NamedTuple):
    """An answer stored for repeated requests with the same key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


ClaimFailure = ClaimInProgress | KeyReused | RunUnknown | NotRun | AnswerNotKept


def acquire_claim(
    context: RequestContext, service: str, key: str, request: CallerRequest, run_timeout_s: float
) -> Claim | StoredAnswer | ClaimFailure:
    """Claim ``key`` for ``request``, or return the result of an earlier claim.

    :param run_timeout_s: seconds from now by which the run will have ended.
    """
    row_key = claim_row_key(service, key)
    attempt = f"{context.vm_id}-{context.random.getrandbits(96):024x}"
    row: ClaimRow = {
        "format": ROW_FORMAT,
        "state": "claimed",
        "attempt": attempt,
        "request": digest_request(request),
        "entry": context.vm_id,
        "until_s": context.wall_clock() + run_timeout_s + EXPIRY_MARGIN_S,
    }
    result = context.claims.commit(RowChange(row_key, ABSENT_VERSION, row))
    if isinstance(result, Committed):
        return Claim(row_key, result.version, row)
    if isinstance(result, Conflict):
        settled = settle_claim(context, row_key, row)
        # The row existed, so an earlier attempt may have run.
        return ClaimInProgress() if isinstance(settled, NotRun) else settled
    if isinstance(result, OutcomeUnknown):
        return settle_claim(context, row_key, row)
    return NotRun(CLAIM_FAILED)


def settle_claim(
    context: RequestContext, row_key: str, own_row: ClaimRow
) -> Claim | StoredAnswer | ClaimFailure:
    """Read the row to see who holds it, and retry the claim on its version if it is free.

    :param own_row: value that this attempt has tried to write.
    """
    for _ in range(SETTLE_TRIES):
        found = context.claims.table.read((row_key,))
        if isinstance(found, Unavailable | Throttled):
            sleep(SETTLE_PAUSE_S)
            continue
        actual = found[row_key]
        if not _is_claimable(actual):
            return _interpret_row(context, actual, own_row)
        result = context.claims.commit(RowChange(row_key, actual.version, own_row))
        if isinstance(result, Committed):
            return Claim(row_key, result.version, own_row)
    spawn(_release_uncertain_claim, context, row_key, own_row)
    return NotRun(CLAIM_FAILED)


def record_answer(context: RequestContext, claim: Claim, answer: StoredAnswer) -> None | Failure:
    """Store the answer, in the claim row if it is small and as an object otherwise."""
    encoded = encode((answer.status, answer.headers, b64encode(answer.body).decode()))
    row: ClaimRow = {**claim.row, "state": "answered"}
    if len(encoded) <= MAX_ROW_ANSWER_BYTES:
        row["answer"] = b64encode(encoded).decode()
    else:
        row["object"] = f"answer/{sha256(encoded).hexdigest()}"
        stored = context.objects.put(row["object"], encoded)
        if isinstance(stored, Unavailable):
            return stored
    return _update_row(context, claim, row)


def record_state(context: RequestContext, claim: Claim, state: ClaimState) -> None | Failure:
    """Record that the outcome of the run is unknown, or that its answer isn't kept."""
    return _update_row(context, claim, {**claim.row, "state": state})


def release_claim(context: RequestContext, claim: Claim) -> None | Failure:
    """Release the claim of a request that was not run."""
    return _update_row(context, claim, _as_released(claim.row))


def claim_row_key(service: str, key: str) -> str:
    """Return the key of the row that claims ``key`` for ``service``."""
    return f"claim/{service}/{sha256(key.encode('latin-1')).hexdigest()[:DIGEST_HEX_CHARACTERS]}"


def digest_request(request: CallerRequest) -> str:
    """Return a digest of the method, target and body, which have to match for a repeat."""
    head = request.head
    digest = sha256(f"{head.method} {head.target}\n".encode("latin-1"))
    digest.update(request.body)
    return digest.hexdigest()[:DIGEST_HEX_CHARACTERS]


def _interpret_row(
    context: RequestContext, actual: Row, own_row: ClaimRow
) -> Claim | StoredAnswer | ClaimFailure:
    found: ClaimRow = actual.value
    if found["attempt"] == own_row["attempt"]:
        return Claim(actual.key, actual.version, own_row)
    if found["request"] != own_row["request"]:
        return KeyReused()
    state = found["state"]
    if state == "answered":
        return _load_answer(context, found)
    if state == "unkept":
        return AnswerNotKept()
    if state == "claimed" and context.wall_clock() < found["until_s"]:
        return ClaimInProgress()
    return RunUnknown("the first attempt under this key has no known outcome")


def _load_answer(
    context: RequestContext, found: ClaimRow
) -> StoredAnswer | AnswerNotKept | ClaimInProgress:
    if "answer" in found:
        encoded = b64decode(found["answer"])
    else:
        content = context.objects.get(found["object"])
        if isinstance(content, Unavailable):
            return ClaimInProgress()
        if not isinstance(content, bytes):
            return AnswerNotKept()
        encoded = content
    status, headers, body = decode(encoded)
    return StoredAnswer(status, tuple((name, value) for name, value in headers), b64decode(body))


def _release_uncertain_claim(context: RequestContext, row_key: str, own_row: ClaimRow) -> None:
    """Release the claim of an attempt that gave up without knowing whether it held the row.

    The released row is kept, so that a claim that takes effect later fails, whether it is of this
    attempt or of another one that was in flight at the same time.
    """
    pause_s = FIRST_WRITE_PAUSE_S
    for _ in range(WRITE_TRIES):
        found = context.claims.table.read((row_key,))
        if not isinstance(found, Unavailable | Throttled):
            actual = found[row_key]
            if not _is_claimable(actual):
                if actual.value["attempt"] == own_row["attempt"]:
                    _update_row(
                        context, Claim(row_key, actual.version, own_row), _as_released(own_row)
                    )
                return
            result = context.claims.commit(
                RowChange(row_key, actual.version, _as_released(own_row))
            )
            if isinstance(result, Committed):
                return
        sleep(pause_s * (0.5 + context.random.random()))
        pause_s = min(pause_s * 2, MAX_WRITE_PAUSE_S)


def _is_claimable(row: Row) -> bool:
    return row.value is None or row.value["state"] == "released"


def _as_released(row: ClaimRow) -> ClaimRow:
    return {**row, "state": "released"}


def _update_row(context: RequestContext, claim: Claim, row: ClaimRow | None) -> None | Failure:
    """Update the claim row, retrying while the store is down or its answer was lost.

    The condition on the row's version makes retries safe: once a write has taken effect, its
    retry conflicts.
    """
    pause_s = FIRST_WRITE_PAUSE_S
    result: Failure | None = None
    for _ in range(WRITE_TRIES):
        result = context.claims.commit(RowChange(claim.key, claim.version, row))
        if isinstance(result, Committed | Conflict):
            return None
        sleep(pause_s * (0.5 + context.random.random()))
        pause_s = min(pause_s * 2, MAX_WRITE_PAUSE_S)
    return result
