"""Keys whose newest state goes to each neighbour: gathered shortly, kept while refused."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.membership.interface import Traffic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from heatherhead.membership.interface import PeerNetwork

__all__ = ["Outbox", "create_outbox"]

RETRY_S = 0.5


class Outbox:
    """Holds for each neighbour the keys that it has not been sent yet.

    `build` makes the next message from the first of some keys and says how many it took. A key
    waits once however often it changes, so that the box is bounded by the number of keys.
    """

    def __init__(
        self,
        network: PeerNetwork,
        build: Callable[[list[str]], tuple[object, int]],
        gather_s: float,
        *,
        only_neighbours: bool,
    ) -> None:
        self._network = network
        self._build = build
        self._gather_s = gather_s
        self._only_neighbours = only_neighbours
        self._keys_by_peer: dict[str, dict[str, None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, key: str, *, but_not_to: str | None = None) -> None:
        """Have a key sent to all neighbours but one."""
        for peer_id in self._network.neighbours():
            if peer_id != but_not_to:
                self._keys_by_peer.setdefault(peer_id, {})[key] = None
        self._schedule(self._gather_s)

    def add_for(self, peer_id: str, keys: Iterable[str]) -> None:
        """Have keys sent to one instance."""
        self._keys_by_peer.setdefault(peer_id, {}).update(dict.fromkeys(keys))
        self._schedule(self._gather_s)

    def discard(self, peer_id: str, key: str) -> None:
        """Keep a key from being sent to an instance that has shown to know it."""
        self._keys_by_peer.get(peer_id, {}).pop(key, None)

    def drop(self, peer_id: str) -> None:
        """Forget what waits for an instance whose stream has ended."""
        self._keys_by_peer.pop(peer_id, None)

    def flush(self) -> None:
        """Send what the network takes and try again later with the rest."""
        self._timer = None
        neighbours = set(self._network.neighbours())
        for peer_id, keys in list(self._keys_by_peer.items()):
            if self._only_neighbours and peer_id not in neighbours:
                keys.clear()
            self._flush_to(peer_id, keys)
            if not keys:
                self._keys_by_peer.pop(peer_id, None)
        if self._keys_by_peer:
            self._schedule(RETRY_S)

    def close(self) -> None:
        """Stop sending."""
        if self._timer is not None:
            self._timer.cancel()

    def _flush_to(self, peer_id: str, keys: dict[str, None]) -> None:
        while keys:
            message, taken = self._build(list(keys))
            if not self._network.send(peer_id, message, Traffic.CONTROL):
                return
            for key in list(keys)[:taken]:
                del keys[key]

    def _schedule(self, delay_s: float) -> None:
        if self._timer is None and self._keys_by_peer:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self.flush)


def create_outbox(
    network: PeerNetwork,
    build: Callable[[list[str]], tuple[object, int]],
    gather_s: float,
    *,
    only_neighbours: bool = True,
) -> Outbox:
    """Create an empty outbox that gathers keys for `gather_s` seconds before it sends.

    With `only_neighbours` it forgets what waits for instances that have left the overlay.
    """
    return Outbox(network, build, gather_s, only_neighbours=only_neighbours)
