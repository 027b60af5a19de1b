"""The daemon of an entry instance on the platform."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from heatherhead.entry.service import create_entry_service
from heatherhead.exceptions import SettingsError
from heatherhead.platform import documents
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.platform.pages import PlatformPages
from heatherhead.platform.settings_file import read_settings, settings_path
from heatherhead.platform.store import create_platform_store
from heatherhead.runtime import create_loop, tune_garbage_collector
from heatherhead.telemetry.bounded_logs import configure_bounded_logs
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from heatherhead.entry.service import EntryService

EXIT_SETTINGS = 2
SETTINGS_POLL_INTERVAL_S = 2.0  # between checks for a changed settings file


class PlatformDecoder:
    """Implements `Decoder`."""

    configuration_key = documents.CONFIGURATION_KEY
    upstream_prefix = documents.UPSTREAM_PREFIX
    evacuation_prefix = documents.EVACUATION_PREFIX
    configuration = staticmethod(documents.decode_configuration)
    upstream = staticmethod(documents.decode_upstream)


class SettingsReloader:
    """Reloads the settings file on SIGHUP and when its modification time changes."""

    def __init__(self, path: str, service: EntryService) -> None:
        self._path = path
        self._service = service
        self._modified_ns = _modified_ns(path)

    def poll(self) -> None:
        """Reload the file if it has changed, and schedule the next check."""
        modified_ns = _modified_ns(self._path)
        if modified_ns != self._modified_ns:
            self._modified_ns = modified_ns
            self.reload("file changed")
        asyncio.get_running_loop().call_later(SETTINGS_POLL_INTERVAL_S, self.poll)

    def reload(self, cause: str) -> None:
        """Apply the settings of the file; an invalid file leaves them unchanged."""
        try:
            needs_restart = self._service.apply(read_settings(self._path))
        except SettingsError as error:
            log_event("reload_failed", level="ERROR", cause=cause, error=error)
            return
        log_event("reloaded", cause=cause, needs_restart=",".join(needs_restart) or "nothing")


def _modified_ns(path: str) -> int:
    try:
        return Path(path).stat().st_mtime_ns
    except OSError:
        return 0


async def _serve() -> None:
    settings = read_settings(settings_path())
    store = create_platform_store(str(settings.store))
    service = create_entry_service(settings, store, PlatformDecoder(), PlatformDialect())
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    reloader = SettingsReloader(settings_path(), service)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload, "SIGHUP")
    await service.start(PlatformPages(service))
    reloader.poll()
    gc.freeze()
    await stop_requested.wait()
    await service.leave()
    await service.stop()


def run() -> None:
    """Run until SIGTERM."""
    configure_bounded_logs("INFO")
    tune_garbage_collector()
    try:
        with asyncio.Runner(loop_factory=create_loop) as runner:
            runner.run(_serve())
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_SETTINGS)
