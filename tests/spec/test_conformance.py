from importlib import import_module
from random import Random

from testtools import TestCase

from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import Job
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.process.workers.lease import certainly_lapsed
from laburnumswitch.process.workers.lease import CLOCK_RATE_BOUND
from laburnumswitch.process.workers.lease import grant_until
from laburnumswitch.process.workers.lease import GRANT_WINDOW_S
from laburnumswitch.process.workers.lease import LEASE_S
from laburnumswitch.process.workers.lease import may_grant
from laburnumswitch.process.workers.worker_api import NO_GRANT
from laburnumswitch.size import Size
from laburnumswitch.version.adoption import AdoptedConfiguration
from laburnumswitch.version.adoption import ConfigurationId
from laburnumswitch.version.document import digest_of
from laburnumswitch.version.document import encode_document
from spec.adoption import ADOPTION
from spec.adoption import Document
from spec.adoption import INITIAL_DOCUMENT
from spec.adoption import NO_DOCUMENT
from spec.model import Step
from spec.ownership import OWNERSHIP
from spec.report import MODEL_BY_NAME
from tests.spec.shard_driver import ShardDriver
from tests.spec.walks import mutant_traces
from tests.spec.walks import random_walk

WALKS = 400
STEPS = 30
RARE_ACTIONS = frozenset({"zone_out", "entry_crashes"})


class ActionFunctions(TestCase):
    def test_every_action_names_a_function_that_exists(self):
        for model in MODEL_BY_NAME.values():
            for action in model.actions:
                module, _, name = action.function.rpartition(".")
                if module:
                    self.assertTrue(callable(getattr(import_module(module), name)), action)


class OwnershipConformance(TestCase):
    def test_real_functions_follow_random_walks(self):
        random = Random(7)
        acknowledged = refused = 0
        for _ in range(WALKS):
            trace = random_walk(OWNERSHIP, random, STEPS, RARE_ACTIONS)
            divergence = ShardDriver().follow(trace)
            self.assertIsNone(divergence, [step.action for step in trace])
            acknowledged += len(trace[-1].state.acknowledged)
            refused += _count_conflicts(trace)
        self.assertGreater(acknowledged, WALKS // 4)
        self.assertGreater(refused, WALKS // 4)

    def test_real_functions_refuse_the_trace_of_each_mutation(self):
        traces = mutant_traces(OWNERSHIP)
        self.assertEqual(OWNERSHIP.guards, set(traces))
        for removed, trace in traces.items():
            divergence = ShardDriver().follow(trace)
            self.assertIsNotNone(divergence, removed)


class AdoptionConformance(TestCase):
    def test_real_adoption_follows_random_walks(self):
        random = Random(11)
        for _ in range(WALKS):
            trace = random_walk(ADOPTION, random, STEPS)
            self.assertTrue(_follow_adoption(trace), [step.action for step in trace])

    def test_real_adoption_refuses_the_trace_of_each_mutation(self):
        traces = mutant_traces(ADOPTION)
        for removed in ("only_higher", "digest_compared"):
            self.assertFalse(_follow_adoption(traces[removed]), removed)


class LeaseConformance(TestCase):
    def test_no_grant_outlives_the_certain_lapse(self):
        random = Random(13)
        for _ in range(20_000):
            sent_s = random.uniform(0.0, 10.0)
            taken_over_s = sent_s + random.uniform(0.0, 3.0 * GRANT_WINDOW_S)
            report_s = sent_s + random.uniform(-1.0, 2.0 * GRANT_WINDOW_S)
            now_s = max(report_s, sent_s) + random.uniform(0.0, 2.0 * GRANT_WINDOW_S)
            rate = random.uniform(1.0 / CLOCK_RATE_BOUND, CLOCK_RATE_BOUND)
            until = grant_until(report_s * rate, sent_s, now_s)
            if until == NO_GRANT:
                self.assertFalse(may_grant(sent_s, now_s))
                continue
            ends_s = until / rate
            lapsed_s = taken_over_s + (GRANT_WINDOW_S + LEASE_S) * CLOCK_RATE_BOUND
            self.assertLessEqual(ends_s, lapsed_s)
            self.assertFalse(certainly_lapsed(float("-inf"), taken_over_s, ends_s - 1e-6))
            self.assertFalse(certainly_lapsed(report_s, float("-inf"), ends_s - 1e-6))


def _count_conflicts(trace: tuple[Step, ...]) -> int:
    return sum(
        step.action == "commit_lands" and step.state.head == before.state.head
        for before, step in zip(trace, trace[1:], strict=False)
    )


def _follow_adoption(trace: tuple[Step, ...]) -> bool:
    """Return whether the implementation adopts and refuses exactly what the trace does."""
    entries = [_adopted_configuration(INITIAL_DOCUMENT), _adopted_configuration(INITIAL_DOCUMENT)]
    for before, step in zip(trace, trace[1:], strict=False):
        if step.action == "entry_replaced":
            for index in (0, 1):
                if before.state.entries[index] != step.state.entries[index]:
                    entries[index] = _adopted_configuration(NO_DOCUMENT)
        if step.action == "adopt":
            (offer,) = before.state.offers - step.state.offers
            configuration_id = ConfigurationId(
                offer.named.version, digest_of(_document(offer.named))
            )
            entries[offer.entry].adopt_document(_document(offer.content), configuration_id, "peer")
        expected = [
            _document(document) if document != NO_DOCUMENT else b""
            for document in step.state.entries
        ]
        if [entry.document for entry in entries] != expected:
            return False
    return True


def _adopted_configuration(document: Document) -> AdoptedConfiguration:
    adopted = AdoptedConfiguration(Timeline("e", "z", lambda: 0.0))
    if document != NO_DOCUMENT:
        content = _document(document)
        adopted.adopt_document(
            content, ConfigurationId(document.version, digest_of(content)), "store"
        )
    return adopted


def _document(document: Document) -> bytes:
    # The documents of two operators for one version differ in an otherwise irrelevant job.
    jobs = (Job("other", "team", ("run",), Size(1, 1)),) if document.operator else ()
    return encode_document(Configuration(document.version, "", (), jobs))
