"""HTTP client of the store's JSON gateway: failover, timeouts, call budget and circuit breaker."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import aiohttp
from pydantic import ValidationError
from result import Err, Ok

from heatherhead.backoff import create_backoff
from heatherhead.client_connections import create_client_connector
from heatherhead.store.circuit import create_circuit
from heatherhead.store.errors import ambiguous_error, unavailable_error
from heatherhead.store.wire import ErrorReply
from heatherhead.token_bucket import create_token_bucket

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from result import Result

    from heatherhead.exceptions import HeatherheadError
    from heatherhead.settings.store import StoreSettings

__all__ = ["Gateway", "GatewayRefusedError", "create_gateway"]

MAX_REPLY_BYTES = 64 * 1024 * 1024
MAX_LINE_BYTES = 4 * 1024 * 1024
MAX_ATTEMPTS = 3
MAX_BUDGET_WAIT_S = 2.0
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
NO_EFFECT_STATUSES = frozenset({429})
CANCELLED_STATUSES = frozenset({408, 499})  # of older and newer gateways
REFUSAL_STATUSES = frozenset(range(400, 500)) - NO_EFFECT_STATUSES - CANCELLED_STATUSES


class GatewayRefusedError(Exception):
    """The gateway answered a request with a gRPC error status."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


class Gateway:
    """Posts JSON to one of several URLs, and fails over to the next one after a failure."""

    def __init__(self, settings: StoreSettings) -> None:
        self.circuit = create_circuit()
        self._urls = [url.rstrip("/") for url in settings.urls]
        self._url_index = 0
        self._budget = create_token_bucket(settings.calls_per_s, settings.calls_burst)
        self._connect_timeout_s = settings.connect_timeout_ms / 1000
        self._call_timeout_s = settings.call_timeout_ms / 1000
        self._session: aiohttp.ClientSession | None = None

    async def post(
        self, path: str, body: dict[str, Any], *, is_write: bool
    ) -> Result[bytes, HeatherheadError]:
        """Make a call, retrying at the next URL unless it is a write that may have had an effect.

        Raises `GatewayRefusedError` if the gateway rejects the request itself.
        """
        backoff = create_backoff(0.05, 1.0)
        error: HeatherheadError = unavailable_error("not tried")
        for number in range(MAX_ATTEMPTS):
            if number:
                await asyncio.sleep(backoff.next_delay_s())
            refusal = await self._admit()
            if refusal is not None:
                return Err(refusal)
            try:
                data = await self._post_once(path, body)
            except (TimeoutError, aiohttp.ClientError, _ServerError) as cause:
                self._record_failure()
                reason = f"{type(cause).__name__}: {cause}"
                if is_write and not _had_no_effect(cause):
                    return Err(ambiguous_error(reason))
                error = unavailable_error(reason)
                continue
            self.circuit.record_success()
            return Ok(data)
        return Err(error)

    @asynccontextmanager
    async def stream(self, path: str, body: dict[str, Any]) -> AsyncIterator[aiohttp.StreamReader]:
        """Open a stream of lines; raises `StoreUnavailableError` if it fails."""
        refusal = await self._admit()
        if refusal is not None:
            raise refusal
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._connect_timeout_s, sock_read=None
        )
        try:
            async with self._client().post(self._url(path), json=body, timeout=timeout) as reply:
                if reply.status != 200:
                    raise _ServerError(reply.status)
                yield reply.content
        except (TimeoutError, aiohttp.ClientError, _ServerError, ValueError) as cause:
            self._record_failure()
            raise unavailable_error(f"watch cut, {type(cause).__name__}: {cause}") from cause

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _admit(self) -> HeatherheadError | None:
        if not self.circuit.try_acquire():
            return unavailable_error("it has not answered for a while")
        wait_s = self._budget.wait_s()
        if wait_s > MAX_BUDGET_WAIT_S:
            return unavailable_error("this instance has used its budget of calls")
        self._budget.force_take()
        if wait_s:
            await asyncio.sleep(wait_s)
        return None

    async def _post_once(self, path: str, body: dict[str, Any]) -> bytes:
        timeout = aiohttp.ClientTimeout(
            total=self._call_timeout_s, sock_connect=self._connect_timeout_s
        )
        async with self._client().post(self._url(path), json=body, timeout=timeout) as reply:
            if reply.status != 200 and reply.status not in REFUSAL_STATUSES:
                raise _ServerError(reply.status)
            data = await reply.content.read(MAX_REPLY_BYTES)
            while chunk := await reply.content.read(MAX_REPLY_BYTES - len(data)):
                data += chunk
            if not reply.content.at_eof():
                raise aiohttp.ClientPayloadError(f"reply above {MAX_REPLY_BYTES} bytes")
            if reply.status in REFUSAL_STATUSES:
                self.circuit.record_success()
                raise _refused_error(data)
            return data

    def _record_failure(self) -> None:
        self._url_index = (self._url_index + 1) % len(self._urls)
        self.circuit.record_failure()

    def _url(self, path: str) -> str:
        return self._urls[self._url_index] + path

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = create_client_connector(
                limit=16,
                force_close=True,  # a kept one may bring the reply to another call
                socket_factory=_keepalive_socket,
            )
            self._session = aiohttp.ClientSession(connector=connector, read_bufsize=MAX_LINE_BYTES)
        return self._session


class _ServerError(Exception):
    """The gateway answered with a status that does not show whether the request had an effect."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


def _had_no_effect(cause: Exception) -> bool:
    if isinstance(cause, _ServerError):
        return cause.status in NO_EFFECT_STATUSES
    return isinstance(cause, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError)


def _refused_error(data: bytes) -> GatewayRefusedError:
    try:
        reply = ErrorReply.model_validate_json(data)
    except ValidationError:
        return GatewayRefusedError(0, data[:200].decode(errors="replace"))
    return GatewayRefusedError(reply.code, reply.message)


def _keepalive_socket(address: tuple[Any, ...]) -> socket.socket:
    """Create a socket with TCP keepalive, which detects a dead store on an idle connection."""
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return created


def create_gateway(settings: StoreSettings) -> Gateway:
    """Create the client of the gateway; it connects at the first call."""
    return Gateway(settings)
