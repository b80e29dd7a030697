"""Stores the parameters of the tail latency model, so that a new owner can load them."""

from msgspec import convert
from msgspec import ValidationError

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.dispatch.dispatcher import Dispatcher
from laburnumswitch.process.dispatch.tails import ModelParameters

LEARNED_TABLE = "learned"
LEARNED_KEY = f"{LEARNED_TABLE}/tails"
# Interval between writes in seconds. The row takes some kilobytes, and it is acceptable to lose
# what was learned in the last few seconds.
STORE_INTERVAL_S = 2.0


def run_learning(dispatcher: Dispatcher) -> None:
    """Store the model's parameters periodically if they have changed, until the term ends."""
    stored: ModelParameters | None = None
    while not dispatcher.is_stopped():
        dispatcher.context.sleep(STORE_INTERVAL_S)
        parameters = dispatcher.model.parameters()
        if parameters.coefficients and parameters != stored and dispatcher.may_act():
            dispatcher.recorder.queue_row(LEARNED_KEY, parameters)
            stored = parameters


def load_parameters(dispatcher: Dispatcher) -> None:
    """Load the stored parameters; without them the model starts from its prior."""
    rows = dispatcher.context.table.read((LEARNED_KEY,))
    if isinstance(rows, Failure):
        dispatcher.context.log.note("learned_unread", LEARNED_KEY, reason=rows.describe())
        return
    value = rows[LEARNED_KEY].value
    if value is None:
        return
    try:
        parameters = convert(value, ModelParameters)
    except ValidationError as error:
        dispatcher.context.log.note("learned_malformed", LEARNED_KEY, reason=str(error))
        return
    dispatcher.model.load_parameters(parameters)
    for _, best_effort_image, _, _ in parameters.coefficients:
        dispatcher.demand.add(best_effort_image, 0.0, dispatcher.context.clock())
    dispatcher.context.log.note("learned", LEARNED_KEY, pairs=len(parameters.coefficients))
