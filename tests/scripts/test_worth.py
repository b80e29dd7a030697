from pathlib import Path
from tempfile import TemporaryDirectory

from msgspec.json import encode
from testtools import TestCase
from testtools.matchers import Contains
from testtools.matchers import Equals

from scripts.worth import read_scores
from scripts.worth import render_site


def make_entry(score, **changes):
    day = {
        "name": "quiet-1",
        "G": score,
        "by_class": [1.0, 0.5, 0.75, None],
        "parts": [["worst windows", 0.5, 0.4], ["worst class", 0.15, 0.5]],
        "prices": [["probes", 3.0, 0.01], ["memory", 1.0, 0.02]],
        "top": 0.998,
    }
    entry = {"cmd": "score", "why": "a round", "site": "shop", "score": score, "days": [day]}
    return entry | changes


class TestWorth(TestCase):
    def setUp(self):
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def _write(self, name, entry):
        (self.folder / name).write_bytes(encode(entry))

    def test_first_and_last_score_of_a_site_are_returned(self):
        self._write("1.json", make_entry(0.2))
        self._write("2.json", make_entry(0.3))
        self._write("3.json", make_entry(0.4))
        self._write("4.json", {"cmd": "run", "site": "shop"})
        self._write("5.json", make_entry(None, site=None, days=None))
        [(first, last)] = read_scores(self.folder)
        self.assertThat((first.score, last.score), Equals((0.2, 0.4)))

    def test_row_shows_share_of_each_class_and_sum_of_prices(self):
        self._write("1.json", make_entry(0.25))
        [(first, last)] = read_scores(self.folder)
        self.assertThat(
            render_site(first, last),
            Contains("| quiet-1 | 0.250 | 0.998 | 1.000 | 0.500 | 0.750 | 0.400 | 0.500 | 0.030 |"),
        )
