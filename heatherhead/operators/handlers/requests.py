"""Receiving requests and dividing lists into pages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from grpclib.server import Stream

__all__ = ["PAGE_ITEMS", "page_of", "receive"]

PAGE_ITEMS = 500

RequestT = TypeVar("RequestT")
ItemT = TypeVar("ItemT")


async def receive(stream: Stream[RequestT, Any]) -> RequestT:
    """Receive the request of a call that has one; a call without one ends as cancelled."""
    request = await stream.recv_message()
    if request is None:
        raise ConnectionAbortedError("the caller ended the stream before its request")
    return request


def page_of(
    groups: Iterable[str], after: str, items_of: Callable[[str], Iterable[ItemT]]
) -> tuple[list[ItemT], str]:
    """Gather the items of named groups in order of name, from the first name beyond `after`.

    A group is never divided. Returns the items and the token of the next page, empty at the end.
    """
    page: list[ItemT] = []
    last = ""
    for name in sorted(group for group in groups if group > after):
        if len(page) >= PAGE_ITEMS:
            return page, last
        page.extend(items_of(name))
        last = name
    return page, ""
