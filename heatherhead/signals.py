"""Keeps signals from ending a daemon that starts or stops.

They are blocked, which leaves them pending, until the daemon handles them, and ignored once it has
stopped.
"""

from __future__ import annotations

import signal

TYPE_CHECKING = False  # `typing` is slow to import, and this module is needed first
if TYPE_CHECKING:
    from asyncio import AbstractEventLoop
    from collections.abc import Callable

__all__ = [
    "block_signals",
    "handle_signals",
    "ignore_signals",
    "is_stop_pending",
    "restore_stop_signals",
    "unblock_signals",
]

STOP_SIGNALS = frozenset({signal.SIGINT, signal.SIGTERM})
DAEMON_SIGNALS = STOP_SIGNALS | {signal.SIGHUP}


def block_signals() -> None:
    """Keep signals pending; call it before threads are created, which inherit it."""
    signal.pthread_sigmask(signal.SIG_BLOCK, DAEMON_SIGNALS)


def unblock_signals() -> None:
    """Deliver the pending signals, and those that follow."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, DAEMON_SIGNALS)


def is_stop_pending() -> bool:
    """Return whether a stop was requested while the signals were blocked."""
    return bool(signal.sigpending() & STOP_SIGNALS)


def handle_signals(
    loop: AbstractEventLoop, stop: Callable[[], None], reload: Callable[[], None]
) -> None:
    """Call `stop` on SIGINT and SIGTERM and `reload` on SIGHUP, also for pending signals."""
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    unblock_signals()


def restore_stop_signals() -> None:
    """Let the next SIGINT or SIGTERM end the process at once."""
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_DFL)


def ignore_signals() -> None:
    """Ignore signals from now on, in all threads and until the process has ended."""
    for number in DAEMON_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
