"""Holds back SIGHUP until the daemon can handle it.

The default action of SIGHUP ends the process, and importing the daemon takes several tenths of a
second. A signal that arrives meanwhile stays pending and reloads the settings afterwards.
"""

from signal import pthread_sigmask
from signal import SIG_BLOCK
from signal import SIG_UNBLOCK
from signal import SIGHUP


def hold_reload_signal() -> None:
    """Keep SIGHUP pending; called before the daemon is imported."""
    pthread_sigmask(SIG_BLOCK, (SIGHUP,))


def deliver_reload_signal() -> None:
    """Deliver a pending SIGHUP and later ones; called once their handler is installed."""
    pthread_sigmask(SIG_UNBLOCK, (SIGHUP,))
