"""Reads paginated lists."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from grpclib.client import Channel, UnaryUnaryMethod

    from heatherhead.commands.session import Session

__all__ = ["read_pages"]

ReplyT = TypeVar("ReplyT")


async def read_pages(
    session: Session,
    request: Any,
    method_of: Callable[[Channel], UnaryUnaryMethod[Any, ReplyT]],
) -> AsyncIterator[ReplyT]:
    """Iterate over the pages of a list; `request` must have a field `page_token`."""
    while True:
        page: Any = await session.client.read(
            lambda channel, timeout_s: method_of(channel)(request, timeout=timeout_s)
        )
        yield page
        if not page.next_page_token:
            return
        request.page_token = page.next_page_token
