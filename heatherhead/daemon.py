"""The daemon `heatherheadd`.

Usage:
  heatherheadd [--check] SETTINGS
  heatherheadd -h | --help

Options:
  --check  Only check the settings file.
"""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from typing import TYPE_CHECKING

import aiomisc
from docopt import docopt

from heatherhead.assembly import create_assembly
from heatherhead.exceptions import SettingsError
from heatherhead.runtime import create_loop, tune_garbage_collector
from heatherhead.settings.check import check_settings_file, load_checked_settings
from heatherhead.telemetry.logs import configure_logs, log_event

if TYPE_CHECKING:
    from heatherhead.assembly import Assembly
    from heatherhead.settings import Settings
    from heatherhead.settings.check import SettingsReport

__all__ = ["main"]

EXIT_START_FAILED = 1
EXIT_SETTINGS_INVALID = 2
SHUTDOWN_MARGIN_S = 60.0


class DaemonService(aiomisc.Service):
    """Runs the assembly; SIGTERM stops it gracefully, SIGHUP reloads the TLS certificates."""

    settings: Settings

    async def start(self) -> None:
        """Start all parts."""
        self._assembly: Assembly = create_assembly(self.settings)
        await self._assembly.start()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._reload)

    async def stop(self, exception: Exception | None = None) -> None:
        """Leave the fleet, then stop all parts."""
        await self._assembly.leave()
        await self._assembly.stop()

    def _reload(self) -> None:
        try:
            self._assembly.reload()
        except SettingsError as error:
            log_event("reload_failed", level="ERROR", error=error)
        else:
            log_event("reloaded")


def main() -> None:
    """Run the daemon, or check its settings."""
    arguments = docopt(__doc__)
    path = arguments["SETTINGS"]
    if arguments["--check"]:
        _check(path)
        return
    try:
        settings, report = load_checked_settings(path)
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_SETTINGS_INVALID)
    _run(settings, report)


def _check(path: str) -> None:
    """Print the findings on a settings file; exit with an error if a daemon can't start with it."""
    report = check_settings_file(path)
    if report.problems:
        sys.stderr.write(f"{report}\n")
        sys.exit(EXIT_SETTINGS_INVALID)
    sys.stdout.write(f"{report}\n")


def _run(settings: Settings, report: SettingsReport) -> None:
    configure_logs(settings.telemetry.log_level)
    for warning in report.warnings:
        log_event(
            "settings_warning",
            level="WARNING",
            field=warning.path,
            reason=warning.reason,
            remedy=warning.remedy,
        )
    tune_garbage_collector()
    try:
        _serve(settings)
    except OSError as error:
        log_event(
            "start_failed",
            level="ERROR",
            error=error,
            remedy="free the address, or set another one in the listen sections",
        )
        sys.exit(EXIT_START_FAILED)


def _serve(settings: Settings) -> None:
    with aiomisc.entrypoint(
        DaemonService(settings=settings),
        loop_factory=create_loop,
        log_config=False,
        shutdown_timeout=_shutdown_timeout_s(settings),
    ) as loop:
        gc.freeze()
        loop.run_forever()


def _shutdown_timeout_s(settings: Settings) -> float:
    callers = settings.callers
    return callers.addresses_keep_s + callers.leaving_timeout_s + SHUTDOWN_MARGIN_S


if __name__ == "__main__":
    main()
