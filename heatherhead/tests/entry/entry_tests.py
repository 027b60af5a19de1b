"""Tests of `heatherhead.entry` and of the bounded log writer."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from typing import TYPE_CHECKING

import pytest

from heatherhead.entry.service import SEEDS_AFTER_S, create_entry_service
from heatherhead.entry.settings import HostPort
from heatherhead.entry.suspensions import create_suspension_watch
from heatherhead.fleet import exchange
from heatherhead.platform.daemon import PlatformDecoder
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.platform.pages import PlatformPages
from heatherhead.platform.settings_file import settings_from_text
from heatherhead.store.memory import create_memory_store
from heatherhead.telemetry import bounded_logs
from heatherhead.telemetry.bounded_logs import BoundedWriter
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.faulty_store import create_faulty_store
from heatherhead.tests.platform.documents_tests import SETTINGS, UPSTREAM

if TYPE_CHECKING:
    from heatherhead.entry.settings import EntrySettings


def test_suspension_is_reported_once_and_small_drift_is_ignored() -> None:
    steady, boot = [10.0], [50.0]
    watch = create_suspension_watch(lambda: steady[0], lambda: boot[0])
    steady[0] += 1.0
    boot[0] += 1.1
    assert watch.check() == 0.0
    steady[0] += 1.0
    boot[0] += 4.0
    assert abs(watch.check() - 3.1) < 1e-9
    assert watch.check() == 0.0


def test_log_writer_never_blocks_and_reports_dropped_lines() -> None:
    reading, writing = os.pipe()
    writer = BoundedWriter(writing)
    line = "x" * 1023 + "\n"
    for _ in range(1000):
        writer.write(line)
    assert writer.dropped > 0
    seen = b""
    for _ in range(20):
        seen += os.read(reading, 1 << 16)
        writer.write(line)
    assert b"event=log_lines_dropped count=" in seen
    os.close(reading)
    os.close(writing)


def test_routine_lines_are_limited_per_second_and_the_rest_is_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[str] = []
    now = [100.0]
    monkeypatch.setattr(bounded_logs.time, "monotonic", lambda: now[0])
    monkeypatch.setattr(bounded_logs, "log_event", lambda event, **_: lines.append(event))
    bounded_logs._counts_by_event.clear()
    for _ in range(50):
        bounded_logs.log_routine("placed")
    assert len(lines) == bounded_logs.MAX_ROUTINE_LINES_PER_S
    now[0] += 1.0
    bounded_logs.log_routine("placed")
    assert lines[-2:] == ["lines_left_out", "placed"]


@pytest.mark.parametrize("store_fails", [True, False])
def test_starting_instance_follows_a_seed_before_it_has_looked_for_homes(store_fails: bool) -> None:
    """Standby instances got the whole replica over a link between regions, and again at home."""

    async def main() -> None:
        store = create_faulty_store(create_memory_store())
        store.is_down = store_fails
        service = create_entry_service(
            settings_from_text(SETTINGS), store, PlatformDecoder(), PlatformDialect()
        )
        assert service._relay_peers() == []
        task = asyncio.create_task(service._find_homes())
        await asyncio.sleep(0.1)
        assert bool(service._relay_peers()) is store_fails
        await asyncio.sleep(SEEDS_AFTER_S)
        assert [peer.host for peer in service._relay_peers()] == ["10.2.0.34"]
        task.cancel()

    run_with_paused_clock(main())


def test_changed_limits_are_applied_and_changed_addresses_need_a_restart() -> None:
    async def main() -> None:
        settings = settings_from_text(SETTINGS)
        service = create_entry_service(
            settings, create_memory_store(), PlatformDecoder(), PlatformDialect()
        )
        changed = settings_from_text(
            SETTINGS.replace("GraceS=6", "GraceS=9").replace("10.1.0.18:8381", "10.1.0.18:9000")
        )
        assert service.apply(changed) == ["callers"]
        assert service.settings.grace_s == 9.0
        assert service.settings.callers == settings.callers

    asyncio.run(main())


TIMEOUT_S = 20.0  # ends a test that hangs
CONFIGURATION = {
    "ConfigVersion": 1,
    "Routes": {
        "r": {
            "Hostname": "shop.example",
            "Prefix": "/",
            "RouteType": "idempotent",
            "Service": "stock",
        }
    },
    "Services": {"stock": {"HealthCheck": "/healthz"}},
    "Limits": {},
}


def _loopback_settings() -> EntrySettings:
    """Return settings of an instance on free loopback ports."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(5)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    addresses = [HostPort("127.0.0.1", port) for port in ports[:3]]
    changes = {
        "host": "127.0.0.1",
        "callers": addresses[0],
        "readiness": addresses[1],
        "addresses": addresses[2],
        "control": None,
        "peer_port": ports[3],
        "detour_port": ports[4],
        "seeds": (),
    }
    return settings_from_text(SETTINGS).model_copy(update=changes)


def test_instance_is_home_and_reads_upstreams_as_soon_as_it_has_a_configuration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a power loss calls arrive immediately; until the first read, loads are unknown.

    Status and read intervals of an hour show that neither waits for its next tick.
    """
    monkeypatch.setattr(exchange, "STATUS_INTERVAL_S", 3600.0)
    monkeypatch.setattr("heatherhead.entry.service.LOAD_READ_INTERVAL_S", 3600.0)

    async def main() -> None:
        read = asyncio.Event()

        async def accept_health_read(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            read.set()
            writer.close()

        upstream = await asyncio.start_server(accept_health_read, "127.0.0.1", 0)
        port = upstream.sockets[0].getsockname()[1]
        store = create_memory_store()
        entry = {**UPSTREAM, "Address": f"127.0.0.1:{port}"}
        await store.compare_and_swap("op/config", 0, json.dumps(CONFIGURATION).encode(), 0)
        await store.compare_and_swap("servers/i-1", 0, json.dumps(entry).encode(), 0)
        settings = _loopback_settings()
        service = create_entry_service(settings, store, PlatformDecoder(), PlatformDialect())
        await service.start(PlatformPages(service))
        async with asyncio.timeout(TIMEOUT_S):
            await read.wait()
        assert service.homes.is_home()
        await service.stop()
        upstream.close()

    asyncio.run(main())
