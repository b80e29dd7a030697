"""API keys of the emulated organisations, and the check of what callers get for them."""

from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Any
from typing import NamedTuple

from standin.fleet.invariant_checker import Violation

# As in the settings of the entries, which revoke strictly: a withdrawn key is not accepted longer
# than this, in seconds, whatever the entry reaches.
REVOKE_S = 5.0
ORGANISATIONS = ("depot", "yard")
KEYS_EACH = 2
# Parts of the calls that are made with a key that was withdrawn, that never existed, and of another
# organisation.
WITHDRAWN_SHARE = 0.15
UNKNOWN_SHARE = 0.05
OTHER_SHARE = 0.05
STATUS_OK = 200


class PresentedKey(NamedTuple):
    """A key of one call, empty for none.

    :ivar fault: why no answer may be 200, empty if one may be.
    """

    key: str
    fault: str = ""


class ApiKeys:
    """Keys of the organisations.

    The constructor takes a source of random numbers, and a function that publishes the tenants of a
    configuration and returns whether it is certainly stored.
    """

    def __init__(self, random: Random, publish: Callable[[list[dict[str, Any]]], bool]) -> None:
        self.violations: list[Violation] = []
        self.keys_by_organisation = {
            name: [self._make_key(random) for _ in range(KEYS_EACH)] for name in ORGANISATIONS
        }
        self.withdrawn_s_by_key: dict[str, float] = {}
        self.refused_calls = 0
        self._organisation_by_withdrawn: dict[str, str] = {}
        self._random = random
        self._publish = publish

    def publish(self) -> bool:
        """Publish the present keys."""
        return self._publish(_encode_tenants(self.keys_by_organisation))

    def rotate(self) -> None:
        """Withdraw the oldest key of an organisation and add one, unless the store refuses it."""
        name = self._random.choice(ORGANISATIONS)
        withdrawn, *kept = self.keys_by_organisation[name]
        added = self._make_key(self._random)
        changed = {**self.keys_by_organisation, name: [*kept, added]}
        if self._publish(_encode_tenants(changed)):
            self.keys_by_organisation = changed
            self.withdrawn_s_by_key[withdrawn] = monotonic()
            self._organisation_by_withdrawn[withdrawn] = name

    def choose_own(self, organisation: str) -> PresentedKey:
        """Return a key for a submission, which may be a withdrawn or an unknown one."""
        if not organisation:
            return PresentedKey("")
        number = self._random.random()
        if number < WITHDRAWN_SHARE:
            return self._choose_withdrawn(organisation)
        if number < WITHDRAWN_SHARE + UNKNOWN_SHARE:
            return PresentedKey(self._make_key(self._random), "unknown key")
        return self.choose_valid(organisation)

    def choose(self, organisation: str) -> PresentedKey:
        """Return a key for a call about a stored job, which may be of another organisation."""
        if organisation and self._random.random() < OTHER_SHARE:
            other = ORGANISATIONS[1 - ORGANISATIONS.index(organisation)]
            return PresentedKey(self.keys_by_organisation[other][0], "key of another organisation")
        return self.choose_own(organisation)

    def choose_valid(self, organisation: str) -> PresentedKey:
        """Return the oldest valid key of an organisation, which all entries have known for long."""
        keys = self.keys_by_organisation.get(organisation)
        return PresentedKey(keys[0] if keys else "")

    def check(self, presented: PresentedKey, job_id: str, method: str, status: int) -> None:
        """Check the status of an answer to a call with a key."""
        self.refused_calls += status in (401, 403)
        if presented.fault and status == STATUS_OK:
            details = f"{method} answered {status} with {presented.fault}"
            self.violations.append(Violation(monotonic(), "key", job_id, details))

    def _choose_withdrawn(self, organisation: str) -> PresentedKey:
        now_s = monotonic()
        withdrawn = [
            key for key, name in self._organisation_by_withdrawn.items() if name == organisation
        ]
        if not withdrawn:
            return self.choose_valid(organisation)
        key = self._random.choice(withdrawn)
        age_s = now_s - self.withdrawn_s_by_key[key]
        return PresentedKey(key, f"key withdrawn {age_s:.1f} s ago" if age_s > REVOKE_S else "")

    def _make_key(self, random: Random) -> str:
        return f"key-{random.getrandbits(64):016x}"


def _encode_tenants(keys_by_organisation: dict[str, list[str]]) -> list[dict[str, Any]]:
    return [
        {"name": name, "apiKeys": keys, "weight": 10.0}
        for name, keys in keys_by_organisation.items()
    ]
