"""The head row of a shard. Every commit of the shard is conditional on its version."""

from typing import Any
from typing import NamedTuple

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import FormatUnknown
from laburnumswitch.exceptions import JournalBroken
from laburnumswitch.process.ledger.records import FORMAT
from laburnumswitch.process.rows.table import ABSENT_VERSION
from laburnumswitch.process.rows.table import ReadFailure
from laburnumswitch.process.rows.table import Row
from laburnumswitch.process.rows.table import Table

NO_OWNER = ""


class _HeadFields(NamedTuple):
    epoch: int = 0
    owner: str = NO_OWNER
    seq: int = 0
    batch: str = ""
    snapshot: int = 0
    format: int = FORMAT


class Head(NamedTuple):
    """One version of a head row.

    :ivar seq: number of the last journal row.
    :ivar batch: id of the last committed batch.
    :ivar snapshot: the ``seq`` that the newest snapshot covers, 0 for none.
    :ivar value: the whole row, including fields unknown to this version of the software.
    """

    shard: int
    version: int
    epoch: int
    owner: str
    seq: int
    batch: str
    snapshot: int
    value: dict[str, Any]

    def updated_value(self, **changes: int | str) -> dict[str, Any]:
        """Return the row's value with fields replaced and unknown fields kept."""
        return {**self.value, **changes}

    def after_write(self, version: int, value: dict[str, Any]) -> "Head":
        """Return the head after ``value`` was written as ``version``."""
        return _decode(Row(head_key(self.shard), version, value), self.shard)


def head_key(shard: int) -> str:
    """Return the key of a shard's head row."""
    return f"head/{shard}"


def journal_prefix(shard: int) -> str:
    """Return the prefix of the keys of a shard's journal rows."""
    return f"journal/{shard}/"


def journal_key(shard: int, seq: int) -> str:
    """Return the key of a journal row."""
    return f"{journal_prefix(shard)}{seq:012d}"


def read_head(table: Table, shard: int) -> Head | ReadFailure | FormatUnknown | JournalBroken:
    """Read the head of a shard; a missing row yields version 0 and epoch 0."""
    key = head_key(shard)
    rows = table.read((key,))
    if not isinstance(rows, dict):
        return rows
    return decode_head(rows[key], shard)


def decode_head(row: Row, shard: int) -> Head | FormatUnknown | JournalBroken:
    """Decode a head row."""
    if row.version == ABSENT_VERSION:
        return _decode(Row(row.key, ABSENT_VERSION, _HeadFields()._asdict()), shard)
    if not isinstance(row.value, dict):
        return JournalBroken(row.key, "head row is not a JSON object")
    if row.value.get("format", FORMAT) > FORMAT:
        return FormatUnknown(row.key, row.value["format"])
    try:
        return _decode(row, shard)
    except ValidationError as error:
        return JournalBroken(row.key, str(error))


def _decode(row: Row, shard: int) -> Head:
    known = {name: row.value[name] for name in _HeadFields._fields if name in row.value}
    fields = convert(list(_HeadFields(**known)), _HeadFields)
    return Head(
        shard,
        row.version,
        fields.epoch,
        fields.owner,
        fields.seq,
        fields.batch,
        fields.snapshot,
        row.value,
    )
