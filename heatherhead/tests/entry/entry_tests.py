"""Tests of `heatherhead.entry` and of the bounded logs."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

from heatherhead.entry.service import create_entry_service
from heatherhead.entry.suspensions import create_suspension_watch
from heatherhead.platform.daemon import PlatformDecoder
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.platform.settings_file import settings_from_text
from heatherhead.store.memory import create_memory_store
from heatherhead.telemetry import bounded_logs
from heatherhead.telemetry.bounded_logs import BoundedWriter
from heatherhead.tests.platform.documents_tests import SETTINGS

if TYPE_CHECKING:
    import pytest


def test_suspension_is_noticed_once_and_small_drift_is_not() -> None:
    steady, boot = [10.0], [50.0]
    watch = create_suspension_watch(lambda: steady[0], lambda: boot[0])
    steady[0] += 1.0
    boot[0] += 1.1
    assert watch.look() == 0.0
    steady[0] += 1.0
    boot[0] += 4.0
    assert abs(watch.look() - 3.1) < 1e-9
    assert watch.look() == 0.0


def test_log_writer_never_blocks_and_tells_what_it_dropped() -> None:
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


def test_routine_lines_are_bounded_a_second_and_the_rest_is_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[str] = []
    now = [100.0]
    monkeypatch.setattr(bounded_logs.time, "monotonic", lambda: now[0])
    monkeypatch.setattr(bounded_logs, "log_event", lambda event, **_: lines.append(event))
    bounded_logs._second_by_event.clear()
    for _ in range(50):
        bounded_logs.log_routine("placed")
    assert len(lines) == bounded_logs.ROUTINE_PER_S
    now[0] += 1.0
    bounded_logs.log_routine("placed")
    assert lines[-2:] == ["lines_left_out", "placed"]


def test_changed_bounds_are_applied_and_addresses_are_told_to_need_a_restart() -> None:
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
