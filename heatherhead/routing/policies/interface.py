"""What a dispatcher asks of a policy of choice."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from heatherhead.routing.upstream_state import UpstreamState

__all__ = ["Policy"]


class Policy(Protocol):
    """Chooses an upstream for one call at a time."""

    def refresh(self, state: UpstreamState) -> None:
        """Take in a new upstream or the changed state of a known one."""
        ...

    def forget(self, state: UpstreamState) -> None:
        """Drop an upstream."""
        ...

    def choose(self, avoid: frozenset[str], *, anywhere: bool = False) -> UpstreamState | None:
        """Choose an upstream whose id is not in `avoid`, or `None` to let the call wait.

        Other regions are considered only if `anywhere` is set.
        """
        ...
