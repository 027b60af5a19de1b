"""Opens peer streams and exchanges greetings on them, with backoff after failures."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.backoff import create_backoff
from heatherhead.exceptions import PeerProtocolError
from heatherhead.membership.connection import PeerConnection, frame, read_message
from heatherhead.membership.member_messages import Greeting, pack_member, unpack_member
from heatherhead.membership.messages import PROTOCOL_VERSION, encode
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    from heatherhead.backoff import Backoff
    from heatherhead.membership.interface import Instance
    from heatherhead.membership.member_table import Member

__all__ = ["Dialer", "create_dialer", "greet"]

CONNECT_TIMEOUT_S = 2.0
GREETING_TIMEOUT_S = 3.0
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 5.0
MAX_BACKOFF_ENTRIES = 1_024


async def greet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, own: Member) -> Member:
    """Exchange greetings and return the peer's own entry; raises `PeerProtocolError`."""
    writer.write(frame(encode(Greeting(PROTOCOL_VERSION, pack_member(own)))))
    async with asyncio.timeout(GREETING_TIMEOUT_S):
        greeting, _ = await read_message(reader)
    if not isinstance(greeting, Greeting) or greeting.version != PROTOCOL_VERSION:
        version = getattr(greeting, "version", "none")
        raise PeerProtocolError(
            f"peer speaks protocol version {version}, this instance {PROTOCOL_VERSION}",
            remedy="run releases with the same protocol version",
        )
    return unpack_member(greeting.member)


class Dialer:
    """Dials instances: one attempt at a time per instance, with backoff after failures."""

    def __init__(
        self,
        own: Callable[[], Member],
        tls: ssl.SSLContext | None,
        on_connected: Callable[[PeerConnection], None],
        on_failed: Callable[[str], None],
    ) -> None:
        self._own = own
        self._tls = tls
        self._on_connected = on_connected
        self._on_failed = on_failed
        self._task_by_id: dict[str, asyncio.Task[None]] = {}
        self._backoff_by_id: dict[str, tuple[Backoff, float]] = {}

    @property
    def attempts(self) -> int:
        """Return the number of attempts in progress."""
        return len(self._task_by_id)

    def dial(self, instance: Instance, *, despite_backoff: bool = False) -> bool:
        """Start an attempt unless the backoff forbids it; return whether one is in progress."""
        if instance.id in self._task_by_id:
            return True
        _, not_before = self._backoff_by_id.get(instance.id, (None, 0.0))
        if asyncio.get_running_loop().time() < not_before and not despite_backoff:
            return False
        self._task_by_id[instance.id] = asyncio.create_task(self._run(instance))
        return True

    def reset_backoff(self, instance_id: str) -> None:
        """Reset the backoff of an instance, so that the next attempt can start at once."""
        self._backoff_by_id.pop(instance_id, None)

    async def close(self) -> None:
        """Cancel all attempts."""
        tasks = list(self._task_by_id.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, instance: Instance) -> None:
        try:
            connection = await self._attempt(instance)
        finally:
            del self._task_by_id[instance.id]
        if connection is not None:
            self._on_connected(connection)
        else:
            self._on_failed(instance.id)

    async def _attempt(self, instance: Instance) -> PeerConnection | None:
        address = instance.peers
        writer = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port, ssl=self._tls
                )
            peer = await greet(reader, writer, self._own())
            if peer.id != instance.id:
                raise PeerProtocolError(
                    f"{peer.id} answers at the address of {instance.id}",
                    remedy="check the instance list",
                )
        except (OSError, EOFError, TimeoutError, PeerProtocolError) as error:
            if writer is not None:
                writer.close()
            self._record_failure(instance.id)
            level = "WARNING" if isinstance(error, PeerProtocolError) else "DEBUG"
            reason = f"{type(error).__name__}: {error}"
            log_event("peer_unreachable", level=level, instance=instance.id, reason=reason)
            return None
        self._backoff_by_id.pop(instance.id, None)
        return PeerConnection(peer, self._own().id, reader, writer)

    def _record_failure(self, instance_id: str) -> None:
        if len(self._backoff_by_id) >= MAX_BACKOFF_ENTRIES:
            self._backoff_by_id.pop(next(iter(self._backoff_by_id)))
        backoff, _ = self._backoff_by_id.get(
            instance_id, (create_backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S), 0.0)
        )
        not_before = asyncio.get_running_loop().time() + backoff.next_delay_s()
        self._backoff_by_id[instance_id] = (backoff, not_before)


def create_dialer(
    own: Callable[[], Member],
    tls: ssl.SSLContext | None,
    on_connected: Callable[[PeerConnection], None],
    on_failed: Callable[[str], None],
) -> Dialer:
    """Create a dialer.

    It calls `on_connected` with each connection after the greeting, and `on_failed` with the
    instance id after each failed attempt.
    """
    return Dialer(own, tls, on_connected, on_failed)
