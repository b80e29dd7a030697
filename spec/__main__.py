"""Checks all models, prints the tables of results and writes them into the developer docs."""

import sys
from pathlib import Path

from spec.report import check_model
from spec.report import MODEL_BY_NAME
from spec.report import render_tables
from spec.report import replace_between_markers

PAGE = Path(__file__).parent.parent / "docs" / "developers" / "protocol.md"


def main() -> int:
    """Return 0 if every property holds and every mutation is refuted, else 1."""
    results = [check_model(name) for name in MODEL_BY_NAME]
    table = render_tables(results)
    print(table)
    PAGE.write_text(replace_between_markers(PAGE.read_text(), table))
    holds = all(each.finding.exhaustive and not each.finding.broken for each in results)
    refuted = all(
        refutation.finding.broken == refutation.mutation.refutes
        for result in results
        for refutation in result.refutations
    )
    return 0 if holds and refuted else 1


if __name__ == "__main__":
    sys.exit(main())
