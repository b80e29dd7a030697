"""Generates a page that breaks down the users' benchmark scores stored in ``journal/``.

A score holds, for each day, the components of its worth (the benchmark's score) and the
share earned by each class of request. The page shows the last and the first score of each site.
"""

from pathlib import Path

import click
from msgspec import Struct
from msgspec.json import decode

JOURNAL = Path("journal")
PAGE = Path("docs/developers/worth.md")
HEADER = """# Where worth is lost

For developers. Made by `python -m scripts.worth` from the scores in `journal/`; for each site the
last score and the first. Single runs: a day differs by up to 0.08 from run to run. The mark is what
the bench holds possible. Urgent, filling and lasting give the share of what each kind of request
could earn; the worst windows and the worst kind weigh in by site.
"""
COLUMNS = (
    "day",
    "worth",
    "mark",
    "urgent",
    "filling",
    "lasting",
    "worst windows",
    "worst kind",
    "prices",
)


class Day(Struct):
    """One day of a score; ``top`` is the highest worth that the benchmark deems possible.

    ``top`` is ``None`` for days that the benchmark draws itself.
    """

    name: str
    G: float
    by_class: list[float | None]
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]
    top: float | None = None
    slot: str | None = None


class JournalEntry(Struct):
    """A journal entry; only entries of score runs have a site and a score."""

    cmd: str
    id: str = ""
    site: str | None = None
    score: float | None = None
    days: list[Day] | None = None


@click.command()
def main() -> None:
    """Write the page."""
    PAGE.write_text(HEADER + "".join(render_site(*pair) for pair in read_scores(JOURNAL)))


def read_scores(folder: Path) -> list[tuple[JournalEntry, JournalEntry]]:
    """Return the first and the last score of each site, ordered by file name (a timestamp)."""
    scores_by_site: dict[str, list[JournalEntry]] = {}
    for path in sorted(folder.glob("*.json")):
        content = path.read_bytes()
        if b'"cmd": "score"' not in content and b'"cmd":"score"' not in content:
            continue
        entry = decode(content, type=JournalEntry)
        if entry.site and entry.score is not None and entry.days:
            scores_by_site.setdefault(entry.site, []).append(entry)
    return [(scores[0], scores[-1]) for _, scores in sorted(scores_by_site.items())]


def render_site(first: JournalEntry, last: JournalEntry) -> str:
    """Return the section of a site: the table of the last score, then that of the first."""
    sections = [f"\n## {last.site}\n"]
    for title, entry in (("Last", last), ("First", first)):
        sections.append(f"\n{title} score, {entry.score:.3f} (journal entry {entry.id}):\n\n")
        sections.append("| " + " | ".join(COLUMNS) + " |\n" + "| --- " * len(COLUMNS) + "|\n")
        sections.extend(_row(day) for day in entry.days)
    return "".join(sections)


def _row(day: Day) -> str:
    value_by_part = {name: value for name, _, value in day.parts}
    prices = sum(price for _, _, price in day.prices)
    earned = [_format_score(value) for value in day.by_class[:3]]
    cells = [
        day.name,
        _format_score(day.G),
        _format_score(day.top),
        *earned,
        _format_score(value_by_part.get("worst windows")),
        _format_score(value_by_part.get("worst class")),
        _format_score(prices),
    ]
    return "| " + " | ".join(cells) + " |\n"


def _format_score(value: float | None) -> str:
    return "" if value is None else f"{value:.3f}"


if __name__ == "__main__":
    main()
