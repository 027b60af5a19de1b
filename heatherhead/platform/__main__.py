"""Runs an entry instance on the platform."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys

from heatherhead.entry.service import create_entry_service
from heatherhead.exceptions import SettingsError
from heatherhead.platform import documents
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.platform.pages import PlatformPages
from heatherhead.platform.settings_file import read_settings, settings_path
from heatherhead.platform.store import create_platform_store
from heatherhead.runtime import create_loop, tune_garbage_collector
from heatherhead.telemetry.bounded_logs import configure_bounded_logs

EXIT_SETTINGS = 2


class PlatformDecoder:
    """Implements `Decoder`."""

    configuration_key = documents.CONFIGURATION_KEY
    upstream_prefix = documents.UPSTREAM_PREFIX
    configuration = staticmethod(documents.decode_configuration)
    upstream = staticmethod(documents.decode_upstream)


async def _serve() -> None:
    settings = read_settings(settings_path())
    store = create_platform_store(str(settings.store))
    service = create_entry_service(settings, store, PlatformDecoder(), PlatformDialect())
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await service.start(PlatformPages(service))
    gc.freeze()
    await ended.wait()
    await service.leave()
    await service.stop()


def main() -> None:
    """Run until SIGTERM."""
    configure_bounded_logs("INFO")
    tune_garbage_collector()
    try:
        with asyncio.Runner(loop_factory=create_loop) as runner:
            runner.run(_serve())
    except SettingsError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_SETTINGS)


if __name__ == "__main__":
    main()
