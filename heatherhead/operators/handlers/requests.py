"""Receiving requests and dividing lists into pages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable, Sequence

    from grpclib.server import Stream

__all__ = ["PAGE_ITEMS", "give_way", "page_of", "receive"]

PAGE_ITEMS = 100

RequestT = TypeVar("RequestT")
ItemT = TypeVar("ItemT")


async def receive(stream: Stream[RequestT, Any]) -> RequestT:
    """Receive the request of a call that has one; a call without one ends as cancelled."""
    request = await stream.recv_message()
    if request is None:
        raise ConnectionAbortedError("the caller ended the stream before its request")
    return request


async def page_of(
    groups: Iterable[str], after: str, items_of: Callable[[str], Sequence[ItemT]]
) -> tuple[list[ItemT], str]:
    """Gather the items of named groups in order of name, from the first name beyond `after`.

    A group is never divided; calls on this loop go on between groups. Returns the items and the
    token of the next page, empty at the end.
    """
    page: list[ItemT] = []
    last = ""
    async for name in give_way(sorted(group for group in groups if group > after)):
        if len(page) >= PAGE_ITEMS:
            return page, last
        page.extend(items_of(name))
        last = name
    return page, ""


async def give_way(items: Iterable[ItemT]) -> AsyncIterator[ItemT]:
    """Iterate, and let the loop carry calls on after each item."""
    for item in items:
        yield item
        await asyncio.sleep(0)
