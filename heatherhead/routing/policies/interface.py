"""Interface of load-balancing policies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from heatherhead.routing.upstream_state import UpstreamState

__all__ = ["Policy"]


class Policy(Protocol):
    """Chooses an upstream for one call at a time."""

    def refresh(self, state: UpstreamState) -> None:
        """Add an upstream, or update it after a change of its state."""
        ...

    def remove(self, state: UpstreamState) -> None:
        """Remove an upstream."""
        ...

    def choose(self, avoid: frozenset[str], *, anywhere: bool = False) -> UpstreamState | None:
        """Choose an upstream whose id is not in `avoid`, or `None` to let the call wait.

        Other regions are considered only if `anywhere` is set.
        """
        ...
