"""This instance's view of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.membership.interface import Instance, InstanceState

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["View", "create_view"]


class View:
    """Holds the known instances by id; implements `MembershipView`."""

    def __init__(self, own: Instance) -> None:
        self.own = own
        self.by_id: dict[str, Instance] = {own.id: own}
        self._listeners: list[Callable[[], None]] = []

    def live(self) -> list[Instance]:
        """List the instances that may be given to callers, this one included if live."""
        return [each for each in self.by_id.values() if each.state is InstanceState.LIVE]

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the view."""
        self._listeners.append(listener)

    def update(self, instances: list[Instance], removed: list[str] | None = None) -> None:
        """Apply changed instances, remove others, and notify the listeners."""
        for each in instances:
            self.by_id[each.id] = each
            if each.id == self.own.id:
                self.own = each
        for instance_id in removed or []:
            self.by_id.pop(instance_id, None)
        for listener in self._listeners:
            listener()


def create_view(own: Instance) -> View:
    """Create a view that contains this instance only."""
    return View(own)
