"""Slots that the dispatcher assigns to attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherhead.calls import AttemptResult, Call
    from heatherhead.configuration.model import Upstream
    from heatherhead.routing.dispatcher import Dispatcher
    from heatherhead.routing.upstream_state import UpstreamState

__all__ = ["RoutedSlot"]


@dataclass(slots=True, eq=False)
class RoutedSlot:
    """A slot of an upstream that one attempt holds."""

    upstream: Upstream
    started_at: float
    state: UpstreamState
    serial: int
    call: Call
    dispatcher: Dispatcher
    is_overdue: bool = False
    isolated: bool = False
    tests_service_time: bool = False  # its deadline is nearer than the service time allows
    finished: bool = False

    def finish(self, result: AttemptResult) -> None:
        """Release the slot; has no effect if it is already released."""
        if not self.finished:
            self.finished = True
            self.dispatcher.finish(self, result)
