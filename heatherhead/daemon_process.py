"""Checks the settings of the daemon, and runs its assembly until it is told to stop."""

from __future__ import annotations

import asyncio
import gc
import sys
from functools import partial
from typing import TYPE_CHECKING

from heatherhead.assembly import create_assembly
from heatherhead.exceptions import SettingsError
from heatherhead.runtime import create_loop, tune_garbage_collector
from heatherhead.settings.check import check_settings_file, load_checked_settings
from heatherhead.signals import (
    handle_signals,
    ignore_signals,
    is_stop_pending,
    restore_stop_signals,
)
from heatherhead.telemetry.logs import configure_logs, log_event

if TYPE_CHECKING:
    from heatherhead.assembly import Assembly
    from heatherhead.settings import Settings
    from heatherhead.settings.check import SettingsReport

__all__ = ["check", "run"]

EXIT_START_FAILED = 1
EXIT_SETTINGS_INVALID = 2
EXIT_STOP_TIMED_OUT = 70
SHUTDOWN_MARGIN_S = 60.0


def check(path: str) -> None:
    """Print the findings on a settings file; exit with an error if a daemon can't start with it."""
    report = check_settings_file(path)
    if report.problems:
        sys.stderr.write(f"{report}\n")
        sys.exit(EXIT_SETTINGS_INVALID)
    sys.stdout.write(f"{report}\n")


def run(path: str) -> None:
    """Run the daemon: SIGTERM and SIGINT stop it gracefully, SIGHUP reloads the TLS certificates.

    A second SIGTERM or SIGINT ends it at once. Signals must be blocked; they are handled once the
    daemon has started.
    """
    try:
        settings, report = load_checked_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_SETTINGS_INVALID)
    configure_logs(settings.telemetry.log_level)
    _log_warnings(report)
    tune_garbage_collector()
    try:
        with asyncio.Runner(loop_factory=create_loop) as runner:
            runner.run(_serve(settings))
    except OSError as error:
        log_event(
            "start_failed",
            level="ERROR",
            error=error,
            remedy="free the address, or set another one in the listen sections",
        )
        sys.exit(EXIT_START_FAILED)


def _log_warnings(report: SettingsReport) -> None:
    for warning in report.warnings:
        log_event(
            "settings_warning",
            level="WARNING",
            field=warning.path,
            reason=warning.reason,
            remedy=warning.remedy,
        )


async def _serve(settings: Settings) -> None:
    if is_stop_pending():
        return
    assembly = create_assembly(settings)
    await assembly.start()
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    handle_signals(loop, stop_requested.set, partial(_reload, assembly))
    gc.freeze()
    await stop_requested.wait()
    restore_stop_signals()
    try:
        async with asyncio.timeout(_shutdown_timeout_s(settings)):
            await assembly.leave()
            await assembly.stop()
    except TimeoutError:
        log_event("stop_timed_out", level="ERROR")
        sys.exit(EXIT_STOP_TIMED_OUT)
    finally:
        ignore_signals()  # the interpreter removes the handlers before it ends


def _reload(assembly: Assembly) -> None:
    try:
        assembly.reload()
    except SettingsError as error:
        log_event("reload_failed", level="ERROR", error=error)
    else:
        log_event("reloaded")


def _shutdown_timeout_s(settings: Settings) -> float:
    callers = settings.callers
    return callers.addresses_keep_s + callers.leaving_timeout_s + SHUTDOWN_MARGIN_S
