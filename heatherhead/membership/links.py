"""The peer streams as membership and dissemination use them, whatever carries them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from heatherhead.membership.interface import PeerNetwork

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from heatherhead.membership.interface import Instance
    from heatherhead.membership.member_table import Member

__all__ = ["PeerLinks"]


class PeerLinks(PeerNetwork, Protocol):
    """Permanent streams to chosen neighbours, and streams on demand to other instances."""

    async def start(self) -> int:
        """Listen for peers; return the port."""
        ...

    async def stop(self) -> None:
        """Close all streams."""
        ...

    def want(self, neighbours: Iterable[Instance]) -> None:
        """Choose the instances to which a stream is kept up."""
        ...

    def try_reach(self, instance: Instance) -> None:
        """Try once to open a stream to an instance, whatever is known of it."""
        ...

    def drop(self, instance_id: str) -> None:
        """Break the stream to an instance, if one is open."""
        ...

    def is_wanted(self, instance_id: str) -> bool:
        """Tell whether a stream to an instance is kept up."""
        ...

    def last_heard(self, instance_id: str) -> float | None:
        """Return when an instance last sent anything; `None` without an open stream."""
        ...

    def links(self) -> list[str]:
        """List the ids of the instances with an open stream."""
        ...

    def on_greeting(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with each peer that has greeted on a new stream."""
        ...

    def on_lost(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with each peer whose last stream has ended."""
        ...

    def on_unreachable(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with each peer that could not be connected to."""
        ...
