"""Keeps what an owner learned of tails, so that its successor need not learn it again."""

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.tails import LearnedTails

LEARNED_TABLE = "learned"
LEARNED_KEY = f"{LEARNED_TABLE}/tails"
# What is learned within a few seconds may be lost with its owner; a row takes some kilobytes.
INTERVAL_S = 2.0


def run_learning(dispatcher: Dispatcher) -> None:
    """Store what was learned, until the ownership ends."""
    stored: LearnedTails | None = None
    while not dispatcher.is_stopped():
        dispatcher.context.sleep(INTERVAL_S)
        learned = dispatcher.model.learned()
        if learned.coefficients and learned != stored and dispatcher.may_act():
            dispatcher.recorder.note_value(LEARNED_KEY, learned)
            stored = learned


def load_learned(dispatcher: Dispatcher) -> None:
    """Take over what was stored; without it the model starts from its prior."""
    rows = dispatcher.context.table.read((LEARNED_KEY,))
    if isinstance(rows, Failure):
        dispatcher.context.log.note("learned_unread", LEARNED_KEY, reason=rows.describe())
        return
    value = rows[LEARNED_KEY].value
    if value is None:
        return
    try:
        learned = convert(value, LearnedTails)
    except ValidationError as error:
        dispatcher.context.log.note("learned_malformed", LEARNED_KEY, reason=str(error))
        return
    dispatcher.model.restore(learned)
    for _, filling, _, _ in learned.coefficients:
        dispatcher.filling_images[filling] = None
    dispatcher.context.log.note("learned", LEARNED_KEY, pairs=len(learned.coefficients))
