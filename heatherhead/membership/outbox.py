"""Queues of changed keys, one for each peer; the newest state of each key is sent in batches."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.membership.interface import Traffic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from heatherhead.membership.interface import PeerNetwork

__all__ = ["Outbox", "create_outbox"]

RETRY_DELAY_S = 0.5


class Outbox:
    """Holds for each peer the keys whose newest state has not been sent to it yet.

    `build` makes a message from the first of the given keys and returns it with the number of
    keys used. A key is held once however often it changes, which bounds the memory for a slow peer.
    """

    def __init__(
        self,
        network: PeerNetwork,
        build: Callable[[list[str]], tuple[object, int]],
        batch_delay_s: float,
        *,
        only_neighbours: bool,
    ) -> None:
        self._network = network
        self._build = build
        self._batch_delay_s = batch_delay_s
        self._only_neighbours = only_neighbours
        self._keys_by_peer: dict[str, dict[str, None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, key: str, *, except_for: str | None = None) -> None:
        """Queue a key for all neighbours except `except_for`."""
        for peer_id in self._network.neighbours():
            if peer_id != except_for:
                self._keys_by_peer.setdefault(peer_id, {})[key] = None
        self._schedule(self._batch_delay_s)

    def add_for(self, peer_id: str, keys: Iterable[str]) -> None:
        """Queue keys for one instance."""
        self._keys_by_peer.setdefault(peer_id, {}).update(dict.fromkeys(keys))
        self._schedule(self._batch_delay_s)

    def discard(self, peer_id: str, key: str) -> None:
        """Remove a key from the queue of an instance that already has its state."""
        self._keys_by_peer.get(peer_id, {}).pop(key, None)

    def discard_peer(self, peer_id: str) -> None:
        """Remove all keys queued for an instance."""
        self._keys_by_peer.pop(peer_id, None)

    def flush(self) -> None:
        """Send as much as the network accepts, and the rest after `RETRY_DELAY_S`."""
        self._timer = None
        neighbours = set(self._network.neighbours())
        for peer_id, keys in list(self._keys_by_peer.items()):
            if self._only_neighbours and peer_id not in neighbours:
                keys.clear()
            self._flush_to(peer_id, keys)
            if not keys:
                self._keys_by_peer.pop(peer_id, None)
        if self._keys_by_peer:
            self._schedule(RETRY_DELAY_S)

    def close(self) -> None:
        """Stop sending."""
        if self._timer is not None:
            self._timer.cancel()

    def _flush_to(self, peer_id: str, keys: dict[str, None]) -> None:
        while keys:
            message, used_count = self._build(list(keys))
            if not self._network.send(peer_id, message, Traffic.CONTROL):
                return
            for key in list(keys)[:used_count]:
                del keys[key]

    def _schedule(self, delay_s: float) -> None:
        if self._timer is None and self._keys_by_peer:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self.flush)


def create_outbox(
    network: PeerNetwork,
    build: Callable[[list[str]], tuple[object, int]],
    batch_delay_s: float,
    *,
    only_neighbours: bool = True,
) -> Outbox:
    """Create an empty outbox that collects keys for `batch_delay_s` seconds before it sends.

    With `only_neighbours` it discards the keys of instances that are no longer neighbours.
    """
    return Outbox(network, build, batch_delay_s, only_neighbours=only_neighbours)
