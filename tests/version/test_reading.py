"""Reading declarations: every problem is reported with file, line, column and field."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from laburnumswitch.declaration import Configuration
from laburnumswitch.declaration import Job
from laburnumswitch.declaration import Service
from laburnumswitch.declaration import StateReport
from laburnumswitch.declaration import Team
from laburnumswitch.exceptions import CyclicOrder
from laburnumswitch.exceptions import DuplicateKey
from laburnumswitch.exceptions import DuplicateName
from laburnumswitch.exceptions import InvalidValue
from laburnumswitch.exceptions import MissingField
from laburnumswitch.exceptions import NotUtf8
from laburnumswitch.exceptions import NotYaml
from laburnumswitch.exceptions import ProblemsFound
from laburnumswitch.exceptions import UnknownField
from laburnumswitch.exceptions import UnknownName
from laburnumswitch.size import Size
from laburnumswitch.version.fields import JobFields
from laburnumswitch.version.fields import ServiceFields
from laburnumswitch.version.fields import StateFields
from laburnumswitch.version.fields import TeamFields
from laburnumswitch.version.reading import read_files
from laburnumswitch.version.reading import read_paths
from laburnumswitch.version.reading import SourceFile

TEAM = """\
kind: team
name: orders
quota: {cpu: 100, memory: 500GB}
"""
SERVICE = """\
kind: service
name: confirmations
team: orders
hosts: [orders.example]
replicas: 3
cpu: 0.5
memory: 2GB
timeout: 1500ms
"""
JOB = """\
kind: job
name: loading
team: orders
command: [plan]
cpu: 2
memory: 1GiB
run_time: 40m
schedule: 0 3 * * *
time_zone: Indian/Mauritius
"""


def read(*texts):
    files = [SourceFile(f"{index}.yaml", text.encode()) for index, text in enumerate(texts)]
    return read_files(files)


def problems(*texts):
    outcome = read(*texts)
    assert isinstance(outcome, ProblemsFound), outcome
    return [
        (type(problem), problem.path, problem.line, problem.column, problem.field)
        for problem in outcome.problems
    ]


class TestAcceptedFiles(TestCase):
    def test_units_become_base_units(self):
        outcome = read(TEAM, SERVICE + "---\n" + JOB)
        self.assertThat(outcome, IsInstance(Configuration))
        self.assertThat(outcome.services[0].size, Equals(Size(500, 2_000)))
        self.assertThat(outcome.services[0].timeout_s, Equals(1.5))
        self.assertThat(outcome.jobs[0].size, Equals(Size(2_000, 1_074)))
        self.assertThat(outcome.jobs[0].run_time_s, Equals(2_400.0))

    def test_order_of_files_does_not_matter(self):
        self.assertThat(read(TEAM, SERVICE, JOB), Equals(read(JOB, SERVICE, TEAM)))

    def test_yaml_1_1_keywords_stay_strings(self):
        outcome = read(TEAM, JOB.replace("[plan]", "[no, on, 1:30]"))
        self.assertThat(outcome.jobs[0].command, Equals(("no", "on", "1:30")))


class TestFields(TestCase):
    def test_everything_that_can_be_declared_has_a_field(self):
        sizes = {"cpu", "memory", "accelerators"}
        for declared, fields in (
            (StateReport, StateFields),
            (Service, ServiceFields),
            (Job, JobFields),
            (Team, TeamFields),
        ):
            names = {name.removesuffix("_s") for name in declared._fields}
            expected = (names - {"size"}) | (sizes if "size" in names else set())
            self.assertThat(set(fields._fields) - {"kind"}, Equals(expected))


class TestProblems(TestCase):
    def test_all_problems_of_a_set_are_collected(self):
        broken = SERVICE.replace("replicas: 3", "replcas: 3").replace("0.5", "-1")
        self.assertThat(
            problems(TEAM + "---\nkind: jobb\n", broken),
            Equals(
                [
                    (UnknownName, "0.yaml", 5, 7, "kind"),
                    (MissingField, "1.yaml", 1, 1, "replicas"),
                    (UnknownField, "1.yaml", 5, 1, "replcas"),
                    (InvalidValue, "1.yaml", 6, 6, "cpu"),
                ]
            ),
        )
        self.assertThat(read(TEAM, broken).describe(), Contains("did you mean 'replicas'?"))

    def test_duplicate_key(self):
        found = problems(TEAM, SERVICE + "cpu: 1\n")
        self.assertThat(found, Equals([(DuplicateKey, "1.yaml", 9, 1, "cpu")]))

    def test_duplicate_name_and_host_across_files(self):
        other = SERVICE.replace("orders.example", "prices.example, Orders.Example")
        found = problems(TEAM, SERVICE, other)
        self.assertThat(
            found,
            Equals(
                [
                    (DuplicateName, "2.yaml", 2, 7, "name"),
                    (DuplicateName, "2.yaml", 4, 25, "hosts[1]"),
                ]
            ),
        )

    def test_job_cannot_have_the_name_of_a_service(self):
        found = problems(TEAM, SERVICE, JOB.replace("loading", "confirmations"))
        self.assertThat(found, Equals([(DuplicateName, "2.yaml", 2, 7, "name")]))

    def test_unknown_team_and_predecessor(self):
        found = problems(TEAM, JOB.replace("team: orders", "team: order") + "after: [load]\n")
        self.assertThat(
            found,
            Equals(
                [
                    (UnknownName, "1.yaml", 3, 7, "team"),
                    (UnknownName, "1.yaml", 10, 9, "after[0]"),
                ]
            ),
        )

    def test_references_to_a_file_with_problems_are_not_checked(self):
        found = problems(TEAM.replace("100", "0"), JOB)
        self.assertThat(found, Equals([(InvalidValue, "0.yaml", 3, 14, "quota.cpu")]))

    def test_cycle_of_jobs_is_reported_once(self):
        first = JOB + "after: [b]\n"
        second = JOB.replace("loading", "b") + "after: [c]\n"
        third = JOB.replace("loading", "c") + "after: [loading]\n"
        outcome = read(TEAM, first, second, third)
        self.assertThat([type(found) for found in outcome.problems], Equals([CyclicOrder]))
        self.assertThat(outcome.problems[0].cycle, Equals(("b", "c", "loading", "b")))

    def test_each_invalid_value_is_rejected(self):
        for text, bad, field in (
            (JOB, "schedule: 0 61 * * *", "schedule"),
            (JOB, "schedule: 0 0 30 2 *", "schedule"),
            (JOB, "schedule: '* * * * * *'", "schedule"),
            (JOB, "cpu: 0", "cpu"),
            (JOB, "cpu: true", "cpu"),
            (JOB, "cpu: .nan", "cpu"),
            (JOB, "memory: 0MB", "memory"),
            (JOB, "memory: 5", "memory"),
            (JOB, "run_time: 0s", "run_time"),
            (JOB, "name: 'a/b'", "name"),
            (JOB, 'name: "a\\n"', "name"),
            (SERVICE, "hosts: [a_b.example]", "hosts[0]"),
            (SERVICE, "hosts: []", "hosts"),
            (SERVICE, "replicas: 0", "replicas"),
            (SERVICE, "replicas: '3'", "replicas"),
        ):
            key = bad.split(":")[0]
            lines = [bad if line.startswith(key + ":") else line for line in text.splitlines()]
            found = problems(TEAM, "\n".join(lines))
            expected = [(InvalidValue, "1.yaml", field)]
            self.assertThat([(kind, path, at) for kind, path, _, _, at in found], Equals(expected))

    def test_unknown_time_zone(self):
        found = problems(TEAM, JOB.replace("Mauritius", "Mauritus"))
        self.assertThat(found, Equals([(UnknownName, "1.yaml", 9, 12, "time_zone")]))


class TestMaliciousFiles(TestCase):
    def test_alias_bomb_is_rejected_at_its_first_anchor(self):
        bomb = "a: &a [x]\nb: &b [*a, *a]\nc: [*b, *b]\n"
        self.assertThat(problems(bomb), Equals([(NotYaml, "0.yaml", 1, 4, "")]))

    def test_deep_nesting_is_rejected(self):
        self.assertThat(problems("[" * 60_000)[0][0], Equals(NotYaml))
        found = problems("[" * 40 + "]" * 40)
        self.assertThat(found, Equals([(NotYaml, "0.yaml", 1, 13, "")]))

    def test_large_file_is_rejected(self):
        self.assertThat(read("#" * 70_000).describe(), Contains("larger than 65536 bytes"))

    def test_position_of_a_byte_that_is_not_utf8(self):
        outcome = read_files([SourceFile("a.yaml", b"kind: job\nname: \xff\n")])
        self.assertThat(outcome.problems, Equals((NotUtf8("a.yaml", 2, 7, ""),)))

    def test_missing_path_is_a_problem(self):
        self.assertThat(read_paths(["/nonexistent"]), IsInstance(ProblemsFound))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(strategies.binary(max_size=300))
    def test_any_bytes_give_a_value_or_a_failure(self, content):
        outcome = read_files([SourceFile("a.yaml", content)])
        self.assertThat(outcome, IsInstance(ProblemsFound))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        strategies.integers(0, len(SERVICE + JOB)),
        strategies.integers(0, 12),
        strategies.sampled_from(["", "0", "-", "[", "{", ": ", "\n", "\t", "'", "~", "9" * 400]),
    )
    def test_any_edit_gives_a_value_or_a_failure(self, start, length, inserted):
        text = SERVICE + "---\n" + JOB
        outcome = read(TEAM, text[:start] + inserted + text[start + length :])
        self.assertThat(outcome, IsInstance(Configuration | ProblemsFound))
