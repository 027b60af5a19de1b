"""Sends one attempt of a call to one upstream over HTTP/1.1."""

from __future__ import annotations

import asyncio
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from weakref import WeakKeyDictionary

import aiohttp
from yarl import URL

from heatherhead.calls import AttemptState, UpstreamSign

if TYPE_CHECKING:
    from collections.abc import AsyncIterable

    from aiohttp import ClientResponse
    from aiohttp.connector import Connection
    from multidict import CIMultiDict

    from heatherhead.settings.admission import AdmissionSettings

__all__ = ["Attempt", "OutboundRequest", "UpstreamClient", "create_upstream_client"]

_UNSET_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
_attempt: ContextVar[Attempt] = ContextVar("attempt")
_calls_by_connection: WeakKeyDictionary[object, int] = WeakKeyDictionary()


class DispatchTooLateError(Exception):
    """The deadline passed before the first byte was written."""


@dataclass(slots=True)
class OutboundRequest:
    """What is sent to an upstream, the same for each attempt."""

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterable[bytes] | None = None
    scheme: str = "http"
    ssl: Any = True


@dataclass(slots=True)
class Attempt:
    """One attempt and what is known of it; times are in seconds on the loop's clock."""

    deadline: float
    started_at: float = 0.0
    sent: bool = False
    answer: ClientResponse | None = None
    error: Exception | None = None
    state: AttemptState = field(default=AttemptState.NOT_SENT)
    sign: UpstreamSign = UpstreamSign.NONE
    cancelled: bool = False
    connection_calls: int = 0

    @property
    def too_late(self) -> bool:
        """Tell whether the attempt was given up because the deadline had passed."""
        return isinstance(self.error, DispatchTooLateError)


class _TrackedRequest(aiohttp.ClientRequest):
    """Notes the moment from which an upstream may have seen the request.

    The deadline is looked at again right before the first byte, because the process may have been
    paused, or a connection long in coming, since the slot was given.
    """

    async def send(self, conn: Connection) -> ClientResponse:
        """Write the request."""
        attempt = _attempt.get()
        if asyncio.get_running_loop().time() >= attempt.deadline:
            raise DispatchTooLateError
        protocol = conn.protocol
        if protocol is not None:
            attempt.connection_calls = _calls_by_connection.get(protocol, 0) + 1
            _calls_by_connection[protocol] = attempt.connection_calls
        attempt.sent = True
        attempt.state = AttemptState.UNKNOWN
        return await super().send(conn)


class UpstreamClient:
    """Owns the connections to all upstreams."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def send(self, host: str, port: int, request: OutboundRequest, attempt: Attempt) -> None:
        """Send the request and wait for the head of the answer; fills `attempt` in.

        On cancellation the connection is closed and `attempt.sent` tells how far it got.
        """
        attempt.started_at = asyncio.get_running_loop().time()
        _attempt.set(attempt)
        url = _url(request.scheme, host, port, request.target)
        try:
            attempt.answer = await self._session.request(
                request.method,
                url,
                headers=request.headers,
                data=request.body,
                allow_redirects=False,
                ssl=request.ssl,
            )
            attempt.state = AttemptState.ANSWERED
        except asyncio.CancelledError:
            attempt.cancelled = True
            raise
        except (aiohttp.ClientError, OSError, ValueError, DispatchTooLateError) as error:
            attempt.error = error
            attempt.sign = _sign_of(attempt)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def _url(scheme: str, host: str, port: int, target: str) -> URL:
    name = f"[{host}]" if ":" in host else host
    return URL(f"{scheme}://{name}:{port}{target}", encoded=True)


def _sign_of(attempt: Attempt) -> UpstreamSign:
    error = attempt.error
    if attempt.sent and isinstance(error, aiohttp.ServerDisconnectedError | aiohttp.ClientOSError):
        return UpstreamSign.DIED
    if isinstance(error, aiohttp.ClientConnectorError):
        return UpstreamSign.DRAINING
    return UpstreamSign.NONE


def create_upstream_client(settings: AdmissionSettings) -> UpstreamClient:
    """Create a client; must be called inside the running loop."""
    connector = aiohttp.TCPConnector(
        limit=settings.upstream_connections,
        limit_per_host=0,
        keepalive_timeout=settings.upstream_idle_s,
        use_dns_cache=False,
        resolver=aiohttp.ThreadedResolver(),
        happy_eyeballs_delay=None,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        request_class=_TrackedRequest,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_UNSET_HEADERS,
        max_field_size=settings.max_answer_header_bytes,
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=settings.connect_timeout_s,
            sock_read=settings.answer_idle_timeout_s,
        ),
    )
    # The session repeats calls of some methods by itself; only the retry budget may do so.
    session._retry_connection = False
    return UpstreamClient(session)
