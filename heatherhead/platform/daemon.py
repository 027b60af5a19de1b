"""The daemon of an entry instance on the platform."""

from __future__ import annotations

import asyncio
import gc
import sys
from dataclasses import dataclass
from functools import partial
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
from heatherhead.signals import handle_signals, ignore_signals, is_stop_pending
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


@dataclass(frozen=True, slots=True)
class FileVersion:
    """Tells versions of a file apart; read it before the content, so that no change is missed."""

    modified_ns: int
    inode: int
    size: int


class SettingsReloader:
    """Reloads the settings file on SIGHUP and when the file has changed."""

    def __init__(self, path: str, service: EntryService, version: FileVersion | None) -> None:
        self._path = path
        self._service = service
        self._version = version

    def poll(self) -> None:
        """Reload the file if it has changed, and schedule the next check."""
        if _file_version(self._path) != self._version:
            self.reload("file changed")
        asyncio.get_running_loop().call_later(SETTINGS_POLL_INTERVAL_S, self.poll)

    def reload(self, cause: str) -> None:
        """Apply the settings of the file; an invalid file leaves them unchanged."""
        self._version = _file_version(self._path)
        try:
            needs_restart = self._service.apply(read_settings(self._path))
        except SettingsError as error:
            log_event("reload_failed", level="ERROR", cause=cause, error=error)
            return
        log_event("reloaded", cause=cause, needs_restart=",".join(needs_restart) or "nothing")


def _file_version(path: str) -> FileVersion | None:
    try:
        status = Path(path).stat()
    except OSError:
        return None
    return FileVersion(status.st_mtime_ns, status.st_ino, status.st_size)


async def _serve() -> None:
    path = settings_path()
    version = _file_version(path)
    settings = read_settings(path)
    if is_stop_pending():
        return
    store = create_platform_store(str(settings.store))
    service = create_entry_service(settings, store, PlatformDecoder(), PlatformDialect())
    reloader = SettingsReloader(path, service, version)
    stop_requested = asyncio.Event()
    handle_signals(
        asyncio.get_running_loop(), stop_requested.set, partial(reloader.reload, "SIGHUP")
    )
    await service.start(PlatformPages(service))
    reloader.poll()
    gc.freeze()
    await stop_requested.wait()
    try:
        await service.leave()
        await service.stop()
    finally:
        ignore_signals()  # the interpreter removes the handlers before it ends


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
