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
from heatherhead.runtime import create_loop
from heatherhead.settings import load_settings
from heatherhead.telemetry.logs import configure_logs, log_event

if TYPE_CHECKING:
    from heatherhead.assembly import Assembly
    from heatherhead.settings import Settings

__all__ = ["main"]

EXIT_SETTINGS = 2
STOP_MARGIN_S = 60.0
GC_GENERATION_0 = 50_000  # objects of a call die by reference count; fewer pauses by collections


class DaemonService(aiomisc.Service):
    """Runs the assembly; SIGTERM leaves gracefully, SIGHUP reads certificates again."""

    settings: Settings

    async def start(self) -> None:
        """Start all parts."""
        self._assembly: Assembly = create_assembly(self.settings)
        await self._assembly.start()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._reload)

    async def stop(self, exception: Exception | None = None) -> None:
        """Leave, then stop all parts."""
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
    try:
        settings = load_settings(arguments["SETTINGS"])
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_SETTINGS)
    if arguments["--check"]:
        sys.stdout.write("settings are fine\n")
        return
    _run(settings)


def _run(settings: Settings) -> None:
    configure_logs(settings.telemetry.log_level)
    gc.set_threshold(GC_GENERATION_0, 20, 100)
    with aiomisc.entrypoint(
        DaemonService(settings=settings),
        loop_factory=create_loop,
        log_config=False,
        shutdown_timeout=_stop_timeout_s(settings),
    ) as loop:
        gc.freeze()
        loop.run_forever()


def _stop_timeout_s(settings: Settings) -> float:
    callers = settings.callers
    return callers.addresses_keep_s + callers.leaving_timeout_s + STOP_MARGIN_S


if __name__ == "__main__":
    main()
