"""Two operators publish at once, and two entries adopt while the store goes down for good.

An entry may be replaced by a fresh one that holds nothing. Offers of a document stay on their way
as long as they like, and one may carry another document than it names.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.model import Action
from spec.model import Guards
from spec.model import Model
from spec.model import Mutation
from spec.model import PROGRESS

MAX_VERSION = 2
MAX_RESTARTS = 1
MAX_OFFERS = 2
PUBLISH = "laburnumswitch.version.publish.publish"
ADOPT = "laburnumswitch.version.adoption."


class Document(NamedTuple):
    """One immutable configuration, told apart by who made it."""

    version: int
    operator: int


class Offer(NamedTuple):
    """A document on its way to an entry, under the name of ``named``."""

    entry: int
    named: Document
    content: Document


NOTHING = Document(0, 0)
FIRST = Document(1, 0)


class State(NamedTuple):
    """``published`` holds all that was ever in the platform's row, the last one being in force.

    ``compared`` is what each operator's change is based on. ``reverted`` tells that an entry took
    a lower version, ``undone`` that a publication ignored another one.
    """

    published: tuple[Document, ...] = (FIRST,)
    stored: frozenset[Document] = frozenset({FIRST})
    compared: tuple[Document, Document] = (NOTHING, NOTHING)
    entries: tuple[Document, Document] = (FIRST, FIRST)
    offers: frozenset[Offer] = frozenset()
    down: bool = False
    crossed: bool = False
    restarts: int = 0
    reverted: bool = False
    undone: bool = False


def _compare(state: State, guards: Guards) -> Iterator[State]:
    for operator in () if state.down else (0, 1):
        if state.compared[operator] == NOTHING:
            yield _with_compared(state, operator, state.published[-1])


def _with_compared(state: State, operator: int, document: Document) -> State:
    first, second = state.compared
    compared = (document, second) if operator == 0 else (first, document)
    return state._replace(compared=compared)


def _store_document(state: State, guards: Guards) -> Iterator[State]:
    for operator, based_on in () if state.down else enumerate(state.compared):
        document = Document(based_on.version + 1, operator)
        if based_on == NOTHING or document in state.stored or document.version > MAX_VERSION:
            continue
        kept = state.stored
        if "digest_in_name" not in guards:
            kept = frozenset(each for each in kept if each.version != document.version)
        yield state._replace(stored=kept | {document})


def _publish(state: State, guards: Guards) -> Iterator[State]:
    for operator, based_on in () if state.down else enumerate(state.compared):
        document = Document(based_on.version + 1, operator)
        if based_on == NOTHING or document not in state.stored:
            continue
        after = _with_compared(state, operator, NOTHING)
        unchanged = based_on == state.published[-1]
        if unchanged or "row_condition" not in guards:
            published = (*state.published, document)
            yield after._replace(published=published, undone=state.undone or not unchanged)
        else:
            yield after


def _offer_from_store(state: State, guards: Guards) -> Iterator[State]:
    named = state.published[-1]
    for content in () if state.down else state.stored:
        # Without the digest in its name a document is found under its version alone.
        found = content == named or (
            "digest_in_name" not in guards and content.version == named.version
        )
        for entry in (0, 1) if found else ():
            yield from _send(state, Offer(entry, named, content))


def _offer_from_peer(state: State, guards: Guards) -> Iterator[State]:
    for entry in (0, 1):
        held = state.entries[1 - entry]
        if held != NOTHING:
            yield from _send(state, Offer(entry, held, held))


def _cross_offer(state: State, guards: Guards) -> Iterator[State]:
    if state.crossed:
        return
    for offer in state.offers:
        for content in state.stored - {offer.content}:
            crossed = state.offers - {offer} | {offer._replace(content=content)}
            yield state._replace(offers=crossed, crossed=True)


def _send(state: State, offer: Offer) -> Iterator[State]:
    if offer not in state.offers and len(state.offers) < MAX_OFFERS:
        yield state._replace(offers=state.offers | {offer})


def _adopt(state: State, guards: Guards) -> Iterator[State]:
    for offer in state.offers:
        rest = state._replace(offers=state.offers - {offer})
        held = state.entries[offer.entry]
        if _refused(offer, held, guards) or offer.content == held:
            yield rest
            continue
        lower = offer.content.version < held.version
        after = _with_entry(rest, offer.entry, offer.content)
        yield after._replace(reverted=state.reverted or lower)


def _refused(offer: Offer, held: Document, guards: Guards) -> bool:
    if offer.content != offer.named and "digest_compared" in guards:
        return True
    return offer.named.version <= held.version and "only_higher" in guards


def _with_entry(state: State, entry: int, document: Document) -> State:
    first, second = state.entries
    return state._replace(entries=(document, second) if entry == 0 else (first, document))


def _lose_offer(state: State, guards: Guards) -> Iterator[State]:
    for offer in state.offers:
        yield state._replace(offers=state.offers - {offer})


def _restart(state: State, guards: Guards) -> Iterator[State]:
    if state.restarts < MAX_RESTARTS:
        for entry in (0, 1):
            yield _with_entry(state, entry, NOTHING)._replace(restarts=state.restarts + 1)


def _store_down(state: State, guards: Guards) -> Iterator[State]:
    if not state.down:
        yield state._replace(down=True)


def _same_everywhere(state: State) -> bool:
    # While the store is down for good, the peers' highest version is the best there is.
    newest = max(state.entries) if state.down else state.published[-1]
    return all(document == newest for document in state.entries)


ADOPTION = Model(
    name="adoption",
    initial=State(),
    actions=(
        Action("compare", _compare, PUBLISH, fault=True),
        Action("store_document", _store_document, PUBLISH, fault=True),
        Action("publish", _publish, PUBLISH, fault=True),
        Action("offer_from_store", _offer_from_store, ADOPT + "adopt_once"),
        Action("offer_from_peer", _offer_from_peer, ADOPT + "adopt_once"),
        Action("adopt", _adopt, ADOPT + "adopt"),
        Action("offer_crossed", _cross_offer, fault=True),
        Action("offer_lost", _lose_offer, fault=True),
        Action("entry_replaced", _restart, fault=True),
        Action("store_down", _store_down, fault=True),
    ),
    invariants={
        "configuration_never_reverts": lambda state: not state.reverted,
        "no_publication_undone": lambda state: not state.undone,
        "only_published_in_force": lambda state: set(state.entries) <= {NOTHING, *state.published},
    },
    goal=_same_everywhere,
    mutations=(
        Mutation("only_higher", "configuration_never_reverts"),
        Mutation("row_condition", "no_publication_undone"),
        Mutation("digest_compared", "only_published_in_force"),
        Mutation("digest_in_name", PROGRESS),
        Mutation("offer_from_peer", PROGRESS),
        Mutation("offer_from_store", PROGRESS),
    ),
    goal_is_stable=False,
)
