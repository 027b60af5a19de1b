"""The membership of one instance: its view of the others and the network to them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from heatherhead.membership.interface import Address, Instance, InstanceState
from heatherhead.membership.view import create_view

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.membership.interface import PeerNetwork, Traffic
    from heatherhead.membership.view import View
    from heatherhead.settings import Settings

__all__ = ["Membership", "create_membership"]


class _NoPeers:
    """The network of a lone instance."""

    def send(self, instance_id: str, message: object, traffic: Traffic) -> bool:
        """Refuse every message."""
        return False

    def neighbours(self) -> list[str]:
        """List nobody."""
        return []

    def subscribe(self, message_type: type, handler: Callable[[str, object], None]) -> None:
        """Take a handler that is never called."""


class Membership:
    """Starts and stops what keeps the view up to date."""

    def __init__(self, view: View, network: PeerNetwork) -> None:
        self.view = view
        self.network = network

    async def start(self) -> None:
        """Listen for peers and begin to follow the instance list."""

    async def stop(self) -> None:
        """Close all streams."""

    async def announce_leaving(self) -> None:
        """Tell the others that this instance gets no new callers from now on."""
        self.view.update([replace(self.view.own, state=InstanceState.LEAVING)])


def create_membership(settings: Settings, incarnation: str) -> Membership:
    """Create the membership of this instance; without an instance list it is a lone one."""
    return Membership(create_view(own_instance(settings, incarnation)), _NoPeers())


def own_instance(settings: Settings, incarnation: str) -> Instance:
    """Describe this instance by its settings."""
    callers = settings.callers
    return Instance(
        settings.instance.id,
        incarnation,
        settings.instance.region,
        settings.instance.availability_zone,
        callers=Address(
            callers.advertised_host or callers.listen.host,
            callers.advertised_port or callers.listen.port,
        ),
        peers=Address(settings.membership.listen.host, settings.membership.listen.port),
        operators=Address(settings.operators.listen.host, settings.operators.listen.port),
    )
