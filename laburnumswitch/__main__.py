"""Entry point of ``python -m laburnumswitch`` and of the single-file executable."""

import sys

from laburnumswitch.process.daemon.reload_signal import hold_reload_signal


def run() -> None:
    """Run the command line."""
    if sys.argv[1:2] == ["entry"]:
        hold_reload_signal()
    from laburnumswitch.command import main

    main(prog_name="laburnumswitch")


if __name__ == "__main__":
    run()
