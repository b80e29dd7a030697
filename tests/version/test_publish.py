"""Publishing under races, lost responses and outages; adoption never reverts to older versions."""

from itertools import permutations

from gevent import GreenletExit
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from testtools import ExpectedException
from testtools import TestCase
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.change import Change
from laburnumswitch.change import FieldChange
from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import Job
from laburnumswitch.declaration import NO_CONFIGURATION
from laburnumswitch.declaration import Team
from laburnumswitch.exceptions import ConfigurationChanged
from laburnumswitch.exceptions import DocumentBroken
from laburnumswitch.exceptions import OutcomeUnknown
from laburnumswitch.exceptions import Unavailable
from laburnumswitch.process.observing.timeline import Timeline
from laburnumswitch.size import Size
from laburnumswitch.version.adoption import adopt
from laburnumswitch.version.adoption import adopt_once
from laburnumswitch.version.adoption import AdoptedConfiguration
from laburnumswitch.version.adoption import ConfigurationId
from laburnumswitch.version.adoption import NO_CONFIGURATION_ID
from laburnumswitch.version.adoption import run_adoption
from laburnumswitch.version.document import decode_document
from laburnumswitch.version.document import diff_configurations
from laburnumswitch.version.document import digest_of
from laburnumswitch.version.document import encode_document
from laburnumswitch.version.publish import CONFIGURATION_KEY
from laburnumswitch.version.publish import publish
from laburnumswitch.version.publish import Published
from laburnumswitch.version.publish import read_current
from laburnumswitch.version.publish import Unchanged
from standin.table import MemoryTable
from tests.memory import MemoryObjects


class InterruptedTable(MemoryTable):
    """Runs ``before_commit`` once, just before the next commit."""

    before_commit = None

    def commit(self, transaction):
        interruption, self.before_commit = self.before_commit, None
        if interruption is not None:
            interruption()
        return super().commit(transaction)


def declare(*names, tasks=1):
    jobs = tuple(Job(name, "a", ("run",), Size(1, 1), tasks=tasks) for name in names)
    return Configuration(jobs=jobs, teams=(Team("a", Size(9, 9)),))


def no_sleep(_):
    pass


class PublishCase(TestCase):
    def setUp(self):
        super().setUp()
        self.table = InterruptedTable()
        self.objects = MemoryObjects()

    def publish(self, declared, expected=None):
        expected = expected or read_current(self.table, self.objects)
        return publish(self.table, self.objects, declared, expected, no_sleep)

    def current_configuration(self):
        return read_current(self.table, self.objects).configuration


class TestPublish(PublishCase):
    def test_versions_increase_and_repeats_change_nothing(self):
        self.assertThat(self.publish(declare("x")).configuration.version, Equals(1))
        self.assertThat(self.publish(declare("x")), IsInstance(Unchanged))
        self.assertThat(self.publish(declare("x", "y")).configuration.version, Equals(2))
        self.assertThat(self.current_configuration().jobs, Equals(declare("x", "y").jobs))

    def test_lost_response_to_a_write_that_took_effect(self):
        self.table.lose_answers = 1
        outcome = self.publish(declare("x"))
        self.assertThat(outcome, IsInstance(Published))
        self.assertThat(self.table.commits, Equals(1))

    def test_unconfirmed_write_is_unknown_and_its_retry_is_safe(self):
        expected = read_current(self.table, self.objects)
        self.table.lose_answers = 1
        outcome = publish(self.table, self.objects, declare("x"), expected, self._store_goes_down)
        self.assertThat(outcome, IsInstance(OutcomeUnknown))
        self.table.down = False
        self.assertThat(self.publish(declare("x"), expected), IsInstance(Unchanged))
        self.assertThat(self.table.commits, Equals(1))

    def _store_goes_down(self, _):
        self.table.down = True

    def test_loser_of_a_race_gets_the_changes_of_the_winner(self):
        self.publish(declare("x"))
        expected = read_current(self.table, self.objects)
        self.table.before_commit = lambda: self.publish(declare("x", "y"), expected)
        outcome = self.publish(declare("x", "z"), expected)
        self.assertThat(outcome, Equals(ConfigurationChanged(1, 2, (Change("job", "y", "added"),))))
        self.assertThat(self.current_configuration().jobs, Equals(declare("x", "y").jobs))

    def test_concurrent_publications_of_equal_declarations_succeed(self):
        expected = read_current(self.table, self.objects)
        self.table.before_commit = lambda: self.publish(declare("x"), expected)
        self.assertThat(self.publish(declare("x"), expected), IsInstance(Unchanged))

    def test_overwritten_publication_with_a_lost_response_is_reported(self):
        expected = read_current(self.table, self.objects)
        self.table.lose_answers = 1
        outcome = publish(
            self.table,
            self.objects,
            declare("x"),
            expected,
            lambda _: self.publish(declare("y")),
        )
        self.assertThat(outcome.version, Equals(2))
        self.assertThat(self.current_configuration().jobs, Equals(declare("y").jobs))

    def test_publish_fails_while_the_object_store_is_down(self):
        expected = read_current(self.table, self.objects)
        self.objects.down = True
        self.assertThat(self.publish(declare("x"), expected), IsInstance(Unavailable))
        self.assertThat(self.table.commits, Equals(0))

    def test_unknown_fields_of_the_row_are_preserved(self):
        self.publish(declare("x"))
        row = self.table.read((CONFIGURATION_KEY,))[CONFIGURATION_KEY]
        self.table._stored_by_key[CONFIGURATION_KEY] = (
            row.version,
            b'{"later":7,' + self.table._stored_by_key[CONFIGURATION_KEY][1][1:],
        )
        self.publish(declare("y"))
        row = self.table.read((CONFIGURATION_KEY,))[CONFIGURATION_KEY]
        self.assertThat((row.value["later"], row.value["version"]), Equals((7, 2)))


class TestConcurrentPublishers(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 1),
                strategies.sampled_from("xyz"),
                strategies.booleans(),
                strategies.integers(0, 2),
            ),
            max_size=8,
        )
    )
    def test_each_version_is_one_publication_and_no_other_outcome_changes_the_row(self, steps):
        table, objects = MemoryTable(), MemoryObjects()
        seen = [read_current(table, objects)] * 2
        for publisher, name, compares, table.lose_answers in steps:
            before = read_current(table, objects)
            if compares:
                seen[publisher] = before
            outcome = publish(table, objects, declare(name), seen[publisher], no_sleep)
            table.lose_answers = 0
            after = read_current(table, objects)
            if isinstance(outcome, Published):
                expected = (before.configuration.version + 1, declare(name).jobs)
                now = (after.configuration.version, after.configuration.jobs)
                self.assertThat(now, Equals(expected))
                self.assertThat(before.row, Equals(seen[publisher].row))
            else:
                self.assertThat(outcome, IsInstance(Unchanged | ConfigurationChanged))
                self.assertThat(after, Equals(before))


class TestDocument(TestCase):
    def test_document_is_canonical_and_reads_back(self):
        document = encode_document(declare("x", "y")._replace(version=3))
        self.assertThat(encode_document(declare("y", "x")._replace(version=3)), Equals(document))
        read = decode_document(document, 3, digest_of(document))
        self.assertThat(read._replace(version=0, digest=""), Equals(declare("x", "y")))

    def test_unknown_fields_are_tolerated(self):
        document = encode_document(declare("x")._replace(version=1))
        document = document.replace(b'{"after"', b'{"later":[1],"after"')
        read = decode_document(document, 1, digest_of(document))
        self.assertThat(read.jobs, Equals(declare("x").jobs))

    def test_document_with_another_version_or_digest_is_rejected(self):
        document = encode_document(declare("x")._replace(version=1))
        digest = digest_of(document)
        self.assertThat(decode_document(document, 2, digest), IsInstance(DocumentBroken))
        self.assertThat(decode_document(document + b" ", 1, digest), IsInstance(DocumentBroken))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(strategies.data())
    def test_any_corruption_gives_a_failure_or_a_value(self, data):
        document = encode_document(declare("x")._replace(version=1))
        start = data.draw(strategies.integers(0, len(document)))
        end = data.draw(strategies.integers(start, len(document)))
        corrupted = document[:start] + data.draw(strategies.binary(max_size=9)) + document[end:]
        outcome = decode_document(corrupted, 1, digest_of(corrupted))
        self.assertThat(outcome, IsInstance(Configuration | DocumentBroken))

    def test_difference_names_changed_fields(self):
        changes = diff_configurations(declare("x", "y"), declare("y", "z", tasks=2))
        self.assertThat(
            changes,
            Equals(
                (
                    Change("job", "x", "removed"),
                    Change("job", "y", "changed", (FieldChange("tasks", "1", "2"),)),
                    Change("job", "z", "added"),
                )
            ),
        )


class TestAdoption(PublishCase):
    def setUp(self):
        super().setUp()
        self.adopted = AdoptedConfiguration(Timeline("entry-1", "az-1", lambda: 0.0))

    def adopt_once(
        self,
        configuration_id=NO_CONFIGURATION_ID,
        peer=lambda version, digest: Unavailable("no peer"),
    ):
        adopt_once(self.adopted, self.table, self.objects, lambda: configuration_id, peer)
        return self.adopted.configuration.version

    def document(self, version, name="x"):
        document = encode_document(declare(name)._replace(version=version))
        return document, ConfigurationId(version, digest_of(document))

    def test_version_never_decreases_for_any_order_of_candidates(self):
        for order in permutations(range(1, 5)):
            current = NO_CONFIGURATION
            for version in order:
                before = current
                current = adopt(current, declare("x")._replace(version=version))
                self.assertThat(current.version, Equals(max(before.version, version)))

    def test_equal_version_does_not_replace(self):
        first = declare("x")._replace(version=1)
        self.assertIs(first, adopt(first, declare("y")._replace(version=1)))

    def test_follows_the_store(self):
        self.publish(declare("x"))
        self.assertThat(self.adopt_once(), Equals(1))
        self.publish(declare("y"))
        self.assertThat(self.adopt_once(), Equals(2))

    def test_new_entry_adopts_from_a_peer_during_an_outage(self):
        document, configuration_id = self.document(7)
        self.table.down = self.objects.down = True
        self.assertThat(
            self.adopt_once(configuration_id, lambda version, digest: document), Equals(7)
        )
        self.table.down = self.objects.down = False
        self.publish(declare("z"))
        self.assertThat(self.adopt_once(), Equals(7))

    def test_loop_continues_through_an_outage(self):
        self.publish(declare("x"))
        self.table.down = True
        versions = []

        def sleep(_):
            versions.append(self.adopted.configuration.version)
            self.table.down = False
            if len(versions) == 2:
                raise GreenletExit

        peer = Unavailable("no peer")
        with ExpectedException(GreenletExit):
            run_adoption(
                self.adopted,
                self.table,
                self.objects,
                lambda: NO_CONFIGURATION_ID,
                lambda *_: peer,
                sleep,
            )
        self.assertThat(versions, Equals([0, 1]))

    def test_peer_serves_a_document_that_the_store_lost(self):
        self.publish(declare("x"))
        (document,) = self.objects.by_name.values()
        self.objects.by_name.clear()
        self.assertThat(self.adopt_once(peer=lambda version, digest: document), Equals(1))

    def test_wrong_document_of_a_peer_is_refused_and_recorded_once(self):
        _, configuration_id = self.document(7)
        wrong, _ = self.document(7, "y")
        for _ in range(3):
            self.assertThat(
                self.adopt_once(configuration_id, lambda version, digest: wrong), Equals(0)
            )
        events = self.adopted._timeline.after(0)
        self.assertThat([event.kind for event in events], Equals(["configuration_refused"]))
