"""Tests of `heatherhead.telemetry.logs`."""

from __future__ import annotations

import io
from typing import TYPE_CHECKING

import pytest
from loguru import logger

from heatherhead.telemetry.logs import add_event_listener, log_event, remove_event_listener

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping


@pytest.fixture
def lines() -> Iterator[io.StringIO]:
    stream = io.StringIO()
    handler = logger.add(stream, format="{message}")
    yield stream
    logger.remove(handler)


def test_event_is_logged_as_one_line_of_key_value_pairs(lines: io.StringIO) -> None:
    log_event("upstream_ejected", upstream="u1", reason='3 "bad"\nanswers', share=0.5)
    assert lines.getvalue() == (
        'event=upstream_ejected upstream=u1 reason="3 \\"bad\\"\\nanswers" share=0.5\n'
    )


def test_listener_receives_events_and_its_failure_is_only_logged(lines: io.StringIO) -> None:
    seen: list[str] = []

    def listen(event: str, level: str, fields: Mapping[str, object]) -> None:
        seen.append(f"{level} {event} {fields}")
        raise RuntimeError("listener")

    add_event_listener(listen)
    log_event("started", level="WARNING", instance="a1")
    remove_event_listener(listen)
    log_event("stopped")
    assert seen == ["WARNING started {'instance': 'a1'}"]
    assert "event_listener_failed" in lines.getvalue()
