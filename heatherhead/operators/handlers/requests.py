"""Helpers of the handlers: receiving requests and dividing lists into pages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable, Sequence

    from grpclib.server import Stream

__all__ = ["PAGE_SIZE", "collect_page", "iterate_cooperatively", "receive_request"]

PAGE_SIZE = 100  # a page may exceed it, as groups are not split

RequestT = TypeVar("RequestT")
ItemT = TypeVar("ItemT")


async def receive_request(stream: Stream[RequestT, Any]) -> RequestT:
    """Receive the request message of an RPC that has exactly one.

    Raises `ConnectionAbortedError` if the client ends the stream without sending one.
    """
    request = await stream.recv_message()
    if request is None:
        raise ConnectionAbortedError("the client ended the stream without sending a request")
    return request


async def collect_page(
    groups: Iterable[str], after: str, items_of: Callable[[str], Sequence[ItemT]]
) -> tuple[list[ItemT], str]:
    """Collect the items of named groups in order of name, starting after the name `after`.

    A group is never split between pages, and the event loop runs other tasks between groups.
    Returns the items and the token of the next page, which is empty at the end.
    """
    page: list[ItemT] = []
    last = ""
    async for name in iterate_cooperatively(sorted(group for group in groups if group > after)):
        if len(page) >= PAGE_SIZE:
            return page, last
        page.extend(items_of(name))
        last = name
    return page, ""


async def iterate_cooperatively(items: Iterable[ItemT]) -> AsyncIterator[ItemT]:
    """Iterate over items; the event loop runs other tasks after each item."""
    for item in items:
        yield item
        await asyncio.sleep(0)
