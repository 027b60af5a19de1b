"""The interface of the peer streams that membership and dissemination use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from heatherhead.membership.interface import PeerNetwork

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from heatherhead.membership.interface import Instance
    from heatherhead.membership.member_table import Member

__all__ = ["PeerLinks"]


class PeerLinks(PeerNetwork, Protocol):
    """Permanent streams to overlay neighbours, and on-demand streams to other instances."""

    async def start(self) -> int:
        """Listen for peers; return the port."""
        ...

    async def stop(self) -> None:
        """Close all streams."""
        ...

    def set_neighbours(self, neighbours: Iterable[Instance]) -> None:
        """Set the overlay neighbours, to which streams are kept open."""
        ...

    def try_connect(self, instance: Instance) -> None:
        """Try once to open a stream to an instance, regardless of its state and backoff."""
        ...

    def disconnect(self, instance_id: str) -> None:
        """Abort the stream to an instance, if one is open."""
        ...

    def is_own_neighbour(self, instance_id: str) -> bool:
        """Return whether an instance is one of the overlay neighbours set here."""
        ...

    def last_received_at(self, instance_id: str) -> float | None:
        """Return the time of the last message from an instance; `None` without an open stream."""
        ...

    def connected_ids(self) -> list[str]:
        """List the ids of the instances with an open stream."""
        ...

    def on_greeting(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with each peer after the greeting on a new stream."""
        ...

    def on_lost(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the id of each peer whose last stream has ended."""
        ...

    def on_unreachable(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the instance id after each failed attempt to connect."""
        ...
