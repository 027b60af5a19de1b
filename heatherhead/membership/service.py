"""The membership of one instance: its view of the fleet and its peer network."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

from heatherhead.membership.failure_detector import create_failure_detector
from heatherhead.membership.gossip import create_gossip
from heatherhead.membership.indirect_prober import create_indirect_prober
from heatherhead.membership.instance_list import create_http_instance_list
from heatherhead.membership.interface import Address, Instance, InstanceState
from heatherhead.membership.list_poller import create_list_poller, holds_role
from heatherhead.membership.member_table import create_member_table
from heatherhead.membership.network import TlsContexts, create_network
from heatherhead.membership.overlay import overlay_neighbours
from heatherhead.membership.view import create_view
from heatherhead.settings.tls import (
    create_client_context,
    create_server_context,
    reload_certificate,
)

if TYPE_CHECKING:
    from heatherhead.membership.instance_list import InstanceList
    from heatherhead.membership.links import PeerLinks
    from heatherhead.membership.member_table import Member, MemberTable
    from heatherhead.settings import Settings
    from heatherhead.settings.membership import MembershipSettings

__all__ = ["Membership", "assemble_membership", "create_membership", "own_instance"]

OVERLAY_DELAY_S = 0.05  # combines several member changes into one update of the neighbours
LEAVING_PROPAGATION_S = 0.2  # for the announcement to reach the other instances


class Membership:
    """Keeps `view` up to date and `network` connected to the overlay neighbours."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        links: PeerLinks,
        instance_list: InstanceList | None,
        rng: Random,
        tls: TlsContexts | None = None,
    ) -> None:
        self._settings = settings
        self._tls = tls
        self.view = create_view(table.own.instance)
        self.network = links
        self.table = table
        self._list = instance_list
        self._overlay_timer: asyncio.TimerHandle | None = None
        self._tasks: list[asyncio.Task[None]] = []
        table.subscribe(self._on_member_change)
        table.on_removed(lambda instance_id: self.view.update([], [instance_id]))
        self._gossip = create_gossip(table, links)
        self._detector = create_failure_detector(settings, table, links, rng)
        self._indirect_prober = create_indirect_prober(table, links)
        self._poller = (
            create_list_poller(settings, instance_list, table, links, rng)
            if instance_list is not None
            else None
        )

    def advertise(self, callers: Address, operators: Address) -> None:
        """Set the advertised addresses, once the listeners know their ports."""
        own = self.table.own.instance
        if (own.callers, own.operators) != (callers, operators):
            self.table.set_own(replace(own, callers=callers, operators=operators))

    async def start(self) -> None:
        """Listen for peers and start polling the instance list."""
        if self._poller is None:
            return
        port = await self.network.start()
        own = self.table.own.instance
        if own.peers.port != port:
            self.table.set_own(replace(own, peers=Address(own.peers.host, port)))
        coroutines = (self._poller.run(), self._poller.run_reconnecting(), self._detector.run())
        self._tasks.extend(asyncio.create_task(each) for each in coroutines)

    async def stop(self) -> None:
        """Stop all tasks and close all streams."""
        if self._overlay_timer is not None:
            self._overlay_timer.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
        self._indirect_prober.close()
        self._gossip.close()
        if self._list is not None:
            await self.network.stop()
            await self._list.close()

    def reload_tls(self) -> None:
        """Reload the certificate of the port for peers; raises `SettingsError`."""
        tls = self._settings.listen.tls
        if tls is not None and self._tls is not None:
            reload_certificate(self._tls.server, tls)
            reload_certificate(self._tls.client, tls)

    async def announce_leaving(self) -> None:
        """Announce to the peers that this instance is leaving and gets no new callers."""
        if self._poller is not None:
            self._poller.has_announced_leaving = True
        self.table.set_own(replace(self.table.own.instance, state=InstanceState.LEAVING))
        self._gossip.flush()
        if self.network.neighbours():
            await asyncio.sleep(LEAVING_PROPAGATION_S)

    @property
    def is_standalone(self) -> bool:
        """Return whether this instance has no instance list and therefore no peers."""
        return self._poller is None

    def holds_role(self, role: str, count: int) -> bool:
        """Return whether this instance is one of the `count` holders of a role in its region."""
        return holds_role(self.table, role, count)

    def _on_member_change(self, member: Member) -> None:
        if member.sequence:
            self.view.update([member.instance])
        if member.state is InstanceState.DEAD:
            self.network.disconnect(member.id)
        if self._list is not None and self._overlay_timer is None:
            loop = asyncio.get_running_loop()
            self._overlay_timer = loop.call_later(OVERLAY_DELAY_S, self._update_neighbours)

    def _update_neighbours(self) -> None:
        self._overlay_timer = None
        by_id = {
            each.id: each.instance
            for each in self.table.by_id.values()
            if each.state is not InstanceState.DEAD
        }
        neighbours = overlay_neighbours(self.table.own.instance, by_id.values())
        self.network.set_neighbours([by_id[each] for each in neighbours])


def create_membership(settings: Settings, incarnation: str) -> Membership:
    """Create the membership of this instance; without an instance list it is standalone."""
    table = create_member_table(own_instance(settings, incarnation))
    tls = _tls_contexts(settings.membership)
    links = create_network(settings.membership, table, tls)
    url = settings.membership.instance_list_url
    instance_list = create_http_instance_list(url) if url else None
    rng = Random(incarnation)
    return assemble_membership(settings.membership, table, links, instance_list, rng, tls)


def assemble_membership(
    settings: MembershipSettings,
    table: MemberTable,
    links: PeerLinks,
    instance_list: InstanceList | None,
    rng: Random,
    tls: TlsContexts | None = None,
) -> Membership:
    """Create a membership from given streams and list; without a list it is standalone."""
    return Membership(settings, table, links, instance_list, rng, tls)


def _tls_contexts(settings: MembershipSettings) -> TlsContexts | None:
    tls = settings.listen.tls
    if tls is None:
        return None
    return TlsContexts(create_server_context(tls), create_client_context(tls))


def own_instance(settings: Settings, incarnation: str) -> Instance:
    """Return this instance's entry as its settings describe it."""
    callers, peers = settings.callers, settings.membership
    return Instance(
        settings.instance.id,
        incarnation,
        settings.instance.region,
        settings.instance.availability_zone,
        callers=Address(
            callers.advertised_host or callers.listen.host,
            callers.advertised_port or callers.listen.port,
        ),
        peers=Address(peers.advertised_host or peers.listen.host, peers.listen.port),
        operators=Address(settings.operators.listen.host, settings.operators.listen.port),
    )
