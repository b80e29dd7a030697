"""Model of publishing and adopting configurations.

Two operators publish concurrently, and two entries adopt configurations while the store may fail
permanently. An entry may be replaced by a new one without a document. Offers may be delayed without
limit, and the content of one offer may be swapped for a document other than the one it names.
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
PUBLISH_FUNCTION = "laburnumswitch.version.publish.publish"
ADOPTION_MODULE = "laburnumswitch.version.adoption."


class Document(NamedTuple):
    """One immutable configuration, identified by its version and the operator who made it."""

    version: int
    operator: int


class Offer(NamedTuple):
    """A message that offers ``content`` to an entry as the document ``named``."""

    entry: int
    named: Document
    content: Document


NO_DOCUMENT = Document(0, 0)
INITIAL_DOCUMENT = Document(1, 0)


class State(NamedTuple):
    """State of the store, the operators, the entries and the offers in flight.

    :ivar published: every document that the platform's configuration row has held; the last one is
        in force.
    :ivar bases: the document that each operator's change is based on.
    :ivar reverted: an entry adopted a lower version than it held.
    :ivar undone: a publication overwrote a concurrent one.
    """

    published: tuple[Document, ...] = (INITIAL_DOCUMENT,)
    stored: frozenset[Document] = frozenset({INITIAL_DOCUMENT})
    bases: tuple[Document, Document] = (NO_DOCUMENT, NO_DOCUMENT)
    entries: tuple[Document, Document] = (INITIAL_DOCUMENT, INITIAL_DOCUMENT)
    offers: frozenset[Offer] = frozenset()
    store_is_down: bool = False
    content_swapped: bool = False
    restarts: int = 0
    reverted: bool = False
    undone: bool = False


def _read_base(state: State, guards: Guards) -> Iterator[State]:
    for operator in () if state.store_is_down else (0, 1):
        if state.bases[operator] == NO_DOCUMENT:
            yield _with_base(state, operator, state.published[-1])


def _with_base(state: State, operator: int, base: Document) -> State:
    first, second = state.bases
    bases = (base, second) if operator == 0 else (first, base)
    return state._replace(bases=bases)


def _store_document(state: State, guards: Guards) -> Iterator[State]:
    for operator, base in () if state.store_is_down else enumerate(state.bases):
        document = Document(base.version + 1, operator)
        if base == NO_DOCUMENT or document in state.stored or document.version > MAX_VERSION:
            continue
        kept = state.stored
        if "digest_in_name" not in guards:
            kept = frozenset(each for each in kept if each.version != document.version)
        yield state._replace(stored=kept | {document})


def _publish(state: State, guards: Guards) -> Iterator[State]:
    for operator, base in () if state.store_is_down else enumerate(state.bases):
        document = Document(base.version + 1, operator)
        if base == NO_DOCUMENT or document not in state.stored:
            continue
        after = _with_base(state, operator, NO_DOCUMENT)
        base_is_current = base == state.published[-1]
        if base_is_current or "row_condition" not in guards:
            published = (*state.published, document)
            yield after._replace(published=published, undone=state.undone or not base_is_current)
        else:
            yield after


def _offer_from_store(state: State, guards: Guards) -> Iterator[State]:
    named = state.published[-1]
    for content in () if state.store_is_down else state.stored:
        # Without the digest in its name, a document is looked up by its version alone.
        found = content == named or (
            "digest_in_name" not in guards and content.version == named.version
        )
        for entry in (0, 1) if found else ():
            yield from _send(state, Offer(entry, named, content))


def _offer_from_peer(state: State, guards: Guards) -> Iterator[State]:
    for entry in (0, 1):
        held = state.entries[1 - entry]
        if held != NO_DOCUMENT:
            yield from _send(state, Offer(entry, held, held))


def _swap_offer_content(state: State, guards: Guards) -> Iterator[State]:
    if state.content_swapped:
        return
    for offer in state.offers:
        for content in state.stored - {offer.content}:
            swapped = state.offers - {offer} | {offer._replace(content=content)}
            yield state._replace(offers=swapped, content_swapped=True)


def _send(state: State, offer: Offer) -> Iterator[State]:
    if offer not in state.offers and len(state.offers) < MAX_OFFERS:
        yield state._replace(offers=state.offers | {offer})


def _adopt(state: State, guards: Guards) -> Iterator[State]:
    for offer in state.offers:
        remaining = state._replace(offers=state.offers - {offer})
        held = state.entries[offer.entry]
        if _is_refused(offer, held, guards) or offer.content == held:
            yield remaining
            continue
        reverts = offer.content.version < held.version
        after = _with_entry(remaining, offer.entry, offer.content)
        yield after._replace(reverted=state.reverted or reverts)


def _is_refused(offer: Offer, held: Document, guards: Guards) -> bool:
    if offer.content != offer.named and "digest_compared" in guards:
        return True
    return offer.named.version <= held.version and "only_higher" in guards


def _with_entry(state: State, entry: int, document: Document) -> State:
    first, second = state.entries
    return state._replace(entries=(document, second) if entry == 0 else (first, document))


def _lose_offer(state: State, guards: Guards) -> Iterator[State]:
    for offer in state.offers:
        yield state._replace(offers=state.offers - {offer})


def _replace_entry(state: State, guards: Guards) -> Iterator[State]:
    if state.restarts < MAX_RESTARTS:
        for entry in (0, 1):
            yield _with_entry(state, entry, NO_DOCUMENT)._replace(restarts=state.restarts + 1)


def _store_down(state: State, guards: Guards) -> Iterator[State]:
    if not state.store_is_down:
        yield state._replace(store_is_down=True)


def _converged(state: State) -> bool:
    # Once the store has failed, the highest version that an entry holds is the newest available.
    newest = max(state.entries) if state.store_is_down else state.published[-1]
    return all(document == newest for document in state.entries)


ADOPTION = Model(
    name="adoption",
    initial=State(),
    actions=(
        Action("compare", _read_base, PUBLISH_FUNCTION, fault=True),
        Action("store_document", _store_document, PUBLISH_FUNCTION, fault=True),
        Action("publish", _publish, PUBLISH_FUNCTION, fault=True),
        Action("offer_from_store", _offer_from_store, ADOPTION_MODULE + "adopt_once"),
        Action("offer_from_peer", _offer_from_peer, ADOPTION_MODULE + "adopt_once"),
        Action("adopt", _adopt, ADOPTION_MODULE + "adopt"),
        Action("offer_crossed", _swap_offer_content, fault=True),
        Action("offer_lost", _lose_offer, fault=True),
        Action("entry_replaced", _replace_entry, fault=True),
        Action("store_down", _store_down, fault=True),
    ),
    invariants={
        "configuration_never_reverts": lambda state: not state.reverted,
        "no_publication_undone": lambda state: not state.undone,
        "only_published_in_force": lambda state: set(state.entries)
        <= {NO_DOCUMENT, *state.published},
    },
    goal=_converged,
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
