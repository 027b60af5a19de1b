"""Tests that answers of the platform's store are held against their call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from heatherhead.exceptions import StoreAmbiguousError, StoreUnavailableError
from heatherhead.platform.store import create_platform_store
from heatherhead.platform.store_answers import find_misfit
from heatherhead.store.history import ranked_revision
from heatherhead.telemetry import bounded_logs
from heatherhead.telemetry.logs import add_event_listener, remove_event_listener
from heatherhead.tests.stuttering_server import Stutter, StutteringServer, encode_answer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from heatherhead.platform.store import PlatformStore

ITEM = {"Key": "op/config", "Value": "eA==", "Revision": 3, "Created": 1, "LeaseId": 0}
LISTING = {"items": [ITEM], "Truncated": False, "StoreRevision": 8}
CHANGES = {"events": [ITEM], "StoreRevision": 8}
WRITTEN = {"Revision": 7}
GRANTED = {"LeaseId": 1, "TtlS_time": 5.0}


async def _list(store: PlatformStore) -> Exception:
    return (await store.read_prefix("servers/")).err_value


async def _watch(store: PlatformStore) -> Exception:
    with pytest.raises(StoreUnavailableError) as caught:
        await anext(store.watch("servers/", ranked_revision(1, 2)))
    return caught.value


async def _write(store: PlatformStore) -> Exception:
    return (await store.compare_and_swap("a", 7, b"new")).err_value


async def _grant(store: PlatformStore) -> Exception:
    return (await store.grant_lease(5.0)).err_value


async def _renew(store: PlatformStore) -> Exception:
    return (await store.renew_lease(1)).err_value


@pytest.mark.parametrize(
    ("call", "status", "answer", "reason"),
    [
        (_list, 200, LISTING, "the key op/config"),
        (_list, 200, CHANGES, "no items"),
        (_list, 200, [], "no object"),
        (_list, 200, LISTING | {"items": [3]}, "a row without a key"),
        (_watch, 200, CHANGES, "the key op/config"),
        (_watch, 200, LISTING, "no events"),
        (_write, 200, WRITTEN, "a write at no later revision"),
        (_write, 200, GRANTED, "no Revision"),
        (_write, 412, {"items": [ITEM]}, "the key op/config"),
        (_write, 412, WRITTEN, "no items"),
        (_grant, 200, {"TtlS_time": 5.0}, "no LeaseId"),
        (_renew, 200, WRITTEN, "no TtlS_time"),
    ],
)
def test_answer_to_another_call_is_taken_or_raises(
    monkeypatch: pytest.MonkeyPatch,
    call: Callable[[PlatformStore], Awaitable[Exception]],
    status: int,
    answer: Any,
    reason: str,
) -> None:
    # Keys of another prefix were listed, and a missing field was a KeyError out of the client.
    monkeypatch.setattr(bounded_logs, "_counts_by_event", {})  # the lines of earlier cases
    lines: list[tuple[str, Mapping[str, object]]] = []

    def listen(event: str, _: str, fields: Mapping[str, object]) -> None:
        lines.append((event, fields))

    async def main() -> Exception:
        server = StutteringServer(
            [encode_answer(status, answer, Store_Era="1")], Stutter.IN_SAME_READ
        )
        store = create_platform_store(await server.start())
        try:
            async with asyncio.timeout(20):
                return await call(store)
        finally:
            await store.close()
            server.stop()

    add_event_listener(listen)
    try:
        error = asyncio.run(main())
    finally:
        remove_event_listener(listen)
    is_write = call in (_write, _grant, _renew)
    assert isinstance(error, StoreAmbiguousError if is_write else StoreUnavailableError)
    refused = [fields for event, fields in lines if event == "store_answer_refused"]
    assert [(each["status"], each["reason"]) for each in refused] == [(status, reason)]


@pytest.mark.parametrize("row", [{}, {"Key": "a", "Revision": 0}, {"Key": "a", "Value": None}])
def test_conflict_over_a_missing_key_is_refused(row: dict[str, Any]) -> None:
    # A key that doesn't exist has no value in the answer.
    answer = {"items": [row]}
    body = {"ExpectedRev": [{"Key": "a", "Revision": 7}]}
    assert find_misfit("/kv-txn", None, body, 412, answer) is None
