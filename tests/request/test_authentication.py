"""Authentication of callers by API key, and the bounded log of refused calls."""

from time import time

from msgspec.json import decode
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import LessThan

from laburnumswitch.exceptions import KeyNotAccepted
from laburnumswitch.process.dispatch.job_spec import key_digest
from laburnumswitch.process.dispatch.job_spec import Organisation
from laburnumswitch.process.dispatch.job_spec import QueueConfiguration
from laburnumswitch.process.observing.decisions import DecisionLog
from laburnumswitch.request.authentication import authenticate
from laburnumswitch.request.authentication import Revocation
from laburnumswitch.request.refusal_log import DecidedBy
from laburnumswitch.request.refusal_log import INTERVAL_S
from laburnumswitch.request.refusal_log import MAX_LINES
from laburnumswitch.request.refusal_log import RefusalLog
from tests.fakes import FakeClock
from tests.process.dispatch.harness import QUEUE

KEYED = QUEUE._replace(requires_key=True)
STRICT = Revocation(True, 5.0)


def make_configuration(version=1, queue=KEYED, **keys_by_name):
    organisations = {
        name: Organisation(name, key_digests=tuple(key_digest(key.encode()) for key in keys))
        for name, keys in keys_by_name.items()
    }
    return QueueConfiguration(version, {queue.name: queue}, {}, organisations_by_name=organisations)


CONFIGURATION = make_configuration(depot=("k1", "k2"), yard=("k3", ""))


def decide(authorization, configuration=CONFIGURATION, age_s=0.0, rule=STRICT, queue=KEYED):
    outcome = authenticate(configuration, queue, authorization, age_s, rule)
    return outcome.status if isinstance(outcome, KeyNotAccepted) else outcome


class TestAuthenticate(TestCase):
    def test_each_key_of_an_organisation_names_it(self):
        for key, name in (("k1", "depot"), ("k2", "depot"), ("k3", "yard")):
            self.assertThat(decide(f"Bearer {key}"), Equals(name))

    def test_scheme_is_not_case_sensitive_and_spaces_do_not_count(self):
        self.assertThat(decide(" bearer   k1 "), Equals("depot"))

    def test_missing_unknown_and_malformed_keys_are_refused(self):
        """An empty key in the configuration must not admit calls without a key."""
        headers = ("", "Bearer", "Bearer ", "k1", "Basic k1", "Bearer K1", "Bearer k1,Bearer k2")
        for header in (*headers, "Bearer \udc80\x00\u20ac", "Bearer " + "k" * 16_000):
            self.assertThat(decide(header), Equals(401))

    def test_keys_beyond_ascii_are_compared_by_their_bytes(self):
        configuration = make_configuration(depot=("clé",))
        header = "Bearer clé".encode().decode("latin-1")
        self.assertThat(decide(header, configuration), Equals("depot"))

    def test_queue_without_keys_serves_every_caller(self):
        for header in ("", "Bearer k1", "Bearer unknown"):
            self.assertThat(decide(header, age_s=99.0, queue=QUEUE), Equals(""))

    def test_nothing_is_accepted_without_a_configuration(self):
        self.assertThat(decide("Bearer k1", None, rule=Revocation()), Equals(503))

    def test_key_is_not_accepted_once_it_may_have_been_revoked_for_too_long(self):
        """An entry without the store accepted revoked keys for as long as it was cut off."""
        self.assertThat(decide("Bearer k1", age_s=4.9), Equals("depot"))
        for header in ("Bearer k1", "Bearer unknown", ""):
            self.assertThat(decide(header, age_s=5.1), Equals(503))
        self.assertThat(decide("Bearer k1", age_s=float("inf")), Equals(503))

    def test_last_version_counts_without_strict_revocation(self):
        rule = Revocation(False, 5.0)
        self.assertThat(decide("Bearer k1", age_s=float("inf"), rule=rule), Equals("depot"))
        self.assertThat(decide("Bearer unknown", age_s=float("inf"), rule=rule), Equals(401))


class TestRefusalLog(TestCase):
    def test_many_refusals_write_few_lines_without_keys(self):
        """Each refused call wrote a line, so an attacker displaced the lines of decisions."""
        clock = FakeClock()
        log = DecisionLog("vm-1", time, 10_000)
        refusals = RefusalLog(log, clock)

        def note(refusal, age_s):
            refusals.note(
                "key_refused",
                "0" * 16,
                refusal.status,
                refusal.reason,
                DecidedBy(1, age_s),
                queue=KEYED.name,
                digest=refusal.digest,
            )

        for number in range(5000):
            refusal = authenticate(CONFIGURATION, KEYED, f"Bearer secret-{number}", 0.5, STRICT)
            note(refusal, float("inf"))
        clock.sleep(INTERVAL_S)
        note(refusal, 0.5)
        content = log.take()
        self.assertThat(b"secret" in content, Equals(False))
        lines = [decode(line) for line in content.splitlines()]
        self.assertThat(lines, HasLength(MAX_LINES + 1))
        self.assertThat(lines[-1]["unlogged"], Equals(5000 - MAX_LINES))
        self.assertThat(refusals.counts, Equals({(401, "unknown key"): 5001}))
        self.assertThat(key_digest(b"secret-4999").startswith(lines[-1]["digest"]), Equals(True))
        self.assertThat(len(lines[-1]["digest"]), LessThan(17))
