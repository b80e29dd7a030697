"""Entry point of ``python -m laburnumswitch``."""

from laburnumswitch.command import main

main()
