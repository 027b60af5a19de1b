"""Tests of what instances tell each other of requests that crash upstreams."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING

from heatherhead.entry.service import create_entry_service
from heatherhead.fleet.peer_messages import CrashNotice, decode_message, encode_message
from heatherhead.platform.daemon import PlatformDecoder
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.store.memory import create_memory_store
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.entry.instances import create_settings

if TYPE_CHECKING:
    from heatherhead.dispatch.crashes import CrashReport
    from heatherhead.entry.service import EntryService

REQUEST = 7  # its fingerprint
INSTANCES = 3
VERIFIED_AFTER_S = 0.15


def _create_instances() -> list[EntryService]:
    """Create instances that aren't started; what one announces reaches the others at once."""
    instances = [
        create_entry_service(
            create_settings(number, f"127.0.0.{number + 1}"),
            create_memory_store(),
            PlatformDecoder(),
            PlatformDialect(),
        )
        for number in range(INSTANCES)
    ]
    for instance in instances:
        others = [each for each in instances if each is not instance]

        def announce(report: CrashReport, others: list[EntryService] = others) -> None:
            message = decode_message(encode_message(CrashNotice("sender", report)))
            assert isinstance(message, CrashNotice)
            for other in others:
                other._apply_crashes(message.report)

        instance.exchange = SimpleNamespace(announce_crashes=announce)  # type: ignore[assignment]
    return instances


def _record_crashes(instance: EntryService, broke_at: float) -> None:
    """Record three crashes by the request, and announce each."""
    now = asyncio.get_running_loop().time()
    for start in ("u1 1", "u2 1", "u3 1"):
        if instance.crashes.record_crash(REQUEST, start, broke_at, now):
            instance._announce_crashes(instance.crashes.report(REQUEST, now))


def _quarantined(instances: list[EntryService]) -> list[bool]:
    now = asyncio.get_running_loop().time()
    return [instance.crashes.quarantined(REQUEST, now) for instance in instances]


def test_request_that_another_instance_got_an_answer_to_is_quarantined_everywhere() -> None:
    async def scenario() -> None:
        instances = _create_instances()
        broke_at = asyncio.get_running_loop().time()
        await asyncio.sleep(VERIFIED_AFTER_S / 2)
        instances[1].crashes.record_answer(REQUEST, broke_at + VERIFIED_AFTER_S / 2)
        await asyncio.sleep(VERIFIED_AFTER_S / 2)
        _record_crashes(instances[0], broke_at)
        assert _quarantined(instances) == [False] * INSTANCES

    run_with_paused_clock(scenario())


def test_request_that_crashes_three_upstreams_is_not_quarantined_elsewhere() -> None:
    async def scenario() -> None:
        instances = _create_instances()
        broke_at = asyncio.get_running_loop().time()
        await asyncio.sleep(VERIFIED_AFTER_S)
        _record_crashes(instances[0], broke_at)
        assert _quarantined(instances) == [True] * INSTANCES

    run_with_paused_clock(scenario())


def test_followers_are_not_told_that_a_request_was_answered() -> None:
    """Standby instances hear of crashes only from the instance that they follow."""

    async def scenario() -> None:
        followed, follower, _ = _create_instances()
        now = asyncio.get_running_loop().time()
        _record_crashes(followed, now)
        for report in followed.crashes.recent(now):
            follower._apply_crashes(report)
        assert _quarantined([follower]) == [True]
        await asyncio.sleep(1.0)
        now = asyncio.get_running_loop().time()
        assert followed.crashes.record_answer(REQUEST, now)
        for report in followed.crashes.recent(now):
            follower._apply_crashes(report)
        assert _quarantined([follower]) == [False]

    run_with_paused_clock(scenario())
