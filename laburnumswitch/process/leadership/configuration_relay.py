"""Exchange of configurations between an entry and the owner that it watches.

Handles the load pattern that API keys are revoked, some within tenths of a second, while the store
does not serve a third of the entries: these learn the new versions from the owner, and an owner
that is not served learns them from its watchers.
"""

from collections.abc import Callable
from collections.abc import Mapping
from math import isfinite
from typing import NamedTuple
from typing import Protocol

from gevent import wait
from gevent.event import Event

from laburnumswitch.exceptions import Failure
from laburnumswitch.process.leadership.leadership import EntryIdentity
from laburnumswitch.process.leadership.messages import ConfigurationState
from laburnumswitch.process.leadership.messages import RelayedConfiguration
from laburnumswitch.process.leadership.messages import WatchAnswer
from laburnumswitch.process.leadership.term import Term
from laburnumswitch.process.operating.operations import FROM_PEER
from laburnumswitch.process.operating.operations import Operations

# Delay of an exchange, in seconds: this much and up to ``MAX_DELAY_S``, by chance. The store serves
# most entries a new version at the same time, so it usually arrives meanwhile, and of the watchers
# of an owner without it only the first ones send it.
MIN_DELAY_S = 0.05
MAX_DELAY_S = 0.25
# What the owner answered longer ago than this, in seconds, causes no exchange.
ANSWER_MAX_AGE_S = 3.0
# Longest pause between two checks for different versions, in seconds.
CHECK_INTERVAL_S = 1.0


class RelayPeers(Protocol):
    """Calls to the owner that ``ConfigurationRelay`` makes."""

    def watch(
        self,
        address: str,
        identity: EntryIdentity,
        wait_s: float,
        timeout_s: float,
        state: ConfigurationState,
    ) -> WatchAnswer | Failure:
        """Return the owner's state once it steps down, or after ``wait_s``."""

    def supersede(self, address: str, term: Term) -> bool | Failure:
        """Announce a later term to an earlier owner."""

    def fetch_configuration(self, address: str) -> RelayedConfiguration | Failure:
        """Return the configuration of another entry."""

    def send_configuration(self, address: str, relayed: RelayedConfiguration) -> bool | Failure:
        """Send a configuration to another entry."""


class _LastAnswer(NamedTuple):
    """An answer to a watch request, from where it came, and when the request was sent."""

    address: str
    answer: WatchAnswer
    sent_s: float


class ConfigurationRelay:
    """Client of the owner for ``Leadership`` that also keeps both configurations up to date.

    The constructor takes a clock that includes suspensions, a source of random numbers up to 1, and
    how old the confirmation of a peer's configuration may be for an entry that has none.
    """

    def __init__(
        self,
        operations: Operations,
        peers: RelayPeers,
        boot_clock: Callable[[], float],
        sleep: Callable[[float], None],
        random: Callable[[], float],
        max_first_age_s: Callable[[], float],
    ) -> None:
        self._operations = operations
        self._peers = peers
        self._clock = boot_clock
        self._sleep = sleep
        self._random = random
        self._max_first_age_s = max_first_age_s
        self._last: _LastAnswer | None = None
        self._answered = Event()

    def watch(
        self, address: str, identity: EntryIdentity, wait_s: float, timeout_s: float
    ) -> WatchAnswer | Failure:
        """Return the owner's state once it steps down, has a new configuration, or after a wait."""
        state = self._describe(address)
        sent_s = self._clock()
        answer = self._peers.watch(address, identity, wait_s, timeout_s, state)
        if not isinstance(answer, Failure):
            self._last = _LastAnswer(address, answer, sent_s)
            if 0 < answer.configuration <= self._operations.version():
                _confirm(self._operations, sent_s, answer.confirmed_age_s)
            self._answered.set()
        return answer

    def supersede(self, address: str, term: Term) -> bool | Failure:
        """Announce a later term to an earlier owner."""
        return self._peers.supersede(address, term)

    def run(self, is_stopped: Callable[[], bool]) -> None:
        """Exchange configurations whenever they differ, until the process stops."""
        while not is_stopped():
            wait((self._answered, self._operations.adopted), CHECK_INTERVAL_S, count=1)
            self._answered.clear()
            if self._differs():
                self._sleep(MIN_DELAY_S + (MAX_DELAY_S - MIN_DELAY_S) * self._random())
                self.exchange()

    def exchange(self) -> None:
        """Fetch the owner's configuration if it is newer, or send this entry's if that is newer."""
        if not self._differs():
            return
        if self._last.answer.configuration > self._operations.version():
            self._fetch(self._last.address)
        else:
            self._peers.send_configuration(
                self._last.address, describe_configuration(self._operations, self._clock())
            )

    def _differs(self) -> bool:
        last = self._last
        if last is None or self._clock() - last.sent_s > ANSWER_MAX_AGE_S:
            return False
        # Without a version, the other entry is of an earlier version, or will read the store.
        return last.answer.configuration not in (0, self._operations.version())

    def _fetch(self, address: str) -> None:
        sent_s = self._clock()
        relayed = self._peers.fetch_configuration(address)
        if isinstance(relayed, Failure):
            self._operations.log.note("configuration_fetch_failed", address, reason=relayed.tag)
            return
        if self._operations.configuration is None:
            confirmed_age_s = relayed.confirmed_age_s
            if confirmed_age_s is None:
                return
            # After a restart, only what was read from the store just now counts as read.
            if self._clock() - sent_s + confirmed_age_s > self._max_first_age_s():
                return
        self._operations.adopt(relayed.configuration, FROM_PEER)
        _confirm(self._operations, sent_s, relayed.confirmed_age_s)

    def _describe(self, address: str) -> ConfigurationState:
        version = self._operations.version()
        age_s = confirmed_age_s(self._operations, self._clock())
        last = self._last
        if last is None or last.address != address:
            return ConfigurationState(version, age_s)
        return ConfigurationState(version, age_s, last.answer.incarnation, last.answer.sent_s)


def confirmed_age_s(operations: Operations, now_s: float) -> float | None:
    """Return how long ago the configuration was certainly the newest, ``None`` if it never was."""
    age_s = operations.confirmed_age_s(now_s)
    return age_s if isfinite(age_s) else None


def describe_configuration(operations: Operations, now_s: float) -> RelayedConfiguration | None:
    """Return the configuration in force for another entry, ``None`` if there is none."""
    if operations.configuration is None:
        return None
    return RelayedConfiguration(operations.configuration, confirmed_age_s(operations, now_s))


def receive_configuration(operations: Operations, relayed: RelayedConfiguration) -> bool:
    """Adopt the configuration that a watcher sent, and return whether this is as new then.

    How long the message took is unknown, so it confirms nothing, and it does not count as read by
    an entry without a configuration.
    """
    if operations.configuration is None:
        return False
    operations.adopt(relayed.configuration, FROM_PEER)
    return True


def note_watcher_state(
    operations: Operations, state: ConfigurationState, incarnation: str, now_s: float
) -> None:
    """Take the confirmation of a watcher's configuration for that of this entry's.

    The request may have been held up, so its age counts from the answer that came before it.

    :param incarnation: identifies this process, which must have given that answer.
    """
    if state.incarnation == incarnation and 0 < state.version <= operations.version():
        _confirm(operations, min(state.answered_s, now_s), state.confirmed_age_s)


def encode_state(state: ConfigurationState) -> dict[str, int | float | str]:
    """Return the state of a watcher's configuration as query parameters."""
    parameters: dict[str, int | float | str] = {"configuration": state.version}
    if state.confirmed_age_s is not None:
        parameters["confirmed-age"] = state.confirmed_age_s
    if state.incarnation:
        parameters["answered-by"] = state.incarnation
        parameters["answered"] = state.answered_s
    return parameters


def decode_state(query: Mapping[str, str]) -> ConfigurationState | None:
    """Return what a watcher says of its configuration, ``None`` if nothing that can be read.

    Earlier versions say nothing.
    """
    try:
        age = query.get("confirmed-age")
        return ConfigurationState(
            int(query["configuration"]),
            None if age is None else float(age),
            query.get("answered-by", ""),
            float(query.get("answered", 0.0)),
        )
    except (KeyError, ValueError):
        return None


def _confirm(operations: Operations, asked_s: float, age_s: float | None) -> None:
    confirmed_s = asked_s - age_s if age_s is not None else float("nan")
    # An age below 0 would be a confirmation in the future.
    if isfinite(confirmed_s) and age_s >= 0.0:
        operations.note_confirmed(confirmed_s)
