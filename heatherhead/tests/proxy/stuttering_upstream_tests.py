"""Tests of upstreams that write an answer once more, whole or in part."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.telemetry.logs import add_event_listener, remove_event_listener
from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    request,
    run_path,
    status_of,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

EARLIER = answer(
    "r1",
    200,
    b"earlier",
    Date="Sat, 05 Dec 2026 20:37:01 GMT",
    X_Heatherhead_Server_Load="1,0,4,100",
)
FAILURE = answer("r2", 500, b"failed", X_Heatherhead_Server_Stamp="failed")


def call(request_id: str, prefix: str = "/read/") -> bytes:
    """Build a call with a short deadline."""
    method = "GET" if prefix == "/read/" else "POST"
    return request(f"{prefix}x", request_id, method, X_Heatherhead_Deadline_Ms="400")


def record_events(*names: str) -> tuple[list[Mapping[str, object]], object]:
    """Collect the fields of some events; the second value ends that when passed to `forget`."""
    lines: list[Mapping[str, object]] = []

    def record(event: str, _level: str, fields: Mapping[str, object]) -> None:
        if event in names:
            lines.append({"event": event, **fields})

    add_event_listener(record)
    return lines, record


def test_skipped_answer_has_a_line_with_both_ids() -> None:
    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(call("r1"))) == 200
        assert status_of(await path.send(call("r2"))) == 500

    lines, record = record_events("answer_skipped")
    try:
        run_path(scenario, [EARLIER, EARLIER + FAILURE], max_attempts=1)
    finally:
        remove_event_listener(record)  # type: ignore[arg-type]
    assert lines == [
        {"event": "answer_skipped", "id": "r2", "upstream": "u0", "of": "r1", "status": 200}
    ]


def test_failed_attempt_that_is_retried_has_a_line() -> None:
    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(call("r1"))) == 500

    lines, record = record_events("attempt_failed")
    try:
        run_path(scenario, [answer("r1", 500)], [answer("r1", 500)], max_attempts=2)
    finally:
        remove_event_listener(record)  # type: ignore[arg-type]
    assert [(each["id"], each["reason"], each["then"]) for each in lines] == [
        ("r1", "status 500", "retried")
    ]
