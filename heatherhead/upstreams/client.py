"""Sends one attempt of a call to one upstream over HTTP/1.1.

The connector, request and response of aiohttp are used without its client session. The session
retries some methods by itself, does not report whether a request was written, and spends time on
cookies, redirects and default headers, which forwarded calls don't need.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from heatherhead.calls import AttemptState, UpstreamSignal
from heatherhead.client_connections import create_client_connector
from heatherhead.proxy.kept_addresses import create_kept_addresses
from heatherhead.upstreams.answer_protocol import AnswerProtocol, create_answer_protocol
from heatherhead.upstreams.answers import says_not_run

if TYPE_CHECKING:
    from collections.abc import AsyncIterable

    from aiohttp import ClientResponse
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.connector import Connection

    from heatherhead.settings.admission import AdmissionSettings

__all__ = ["Attempt", "Destination", "OutboundRequest", "UpstreamClient", "create_upstream_client"]

METHODS_WITHOUT_ANSWER_BODY = frozenset({"HEAD"})
READ_BUFFER_BYTES = 64 * 1024
MAX_STATUS_LINE_BYTES = 8190
MAX_ANSWER_HEADERS = 256
TIMEOUT_CEILING_S = 5.0  # aiohttp rounds longer timeouts up to whole seconds


class DeadlinePassedError(Exception):
    """The deadline passed before the first byte was written."""


class Destination(NamedTuple):
    """An address with the id of the upstream or instance that is expected there.

    One that starts at the address of an earlier one gets none of the earlier one's connections:
    these may still be served by the earlier process.
    """

    host: str
    port: int
    id: str

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(slots=True)
class OutboundRequest:
    """A request to an upstream, identical for each attempt; `headers` contains a Host header.

    `idle_timeout_s` bounds the wait for each chunk of the answer if there is no deadline; it costs
    one timer per chunk. `own_connection` is for a request whose answer must not be one to a call
    that used the connection before: answers don't name their calls.
    """

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterable[bytes] | None = None
    scheme: str = "http"
    ssl: Any = True
    idle_timeout_s: float | None = None
    own_connection: bool = False


@dataclass(slots=True)
class Attempt:
    """State of one attempt; times are in seconds on the loop's clock."""

    deadline: float
    started_at: float = 0.0
    sent: bool = False
    answer: ClientResponse | None = None
    error: Exception | None = None
    state: AttemptState = field(default=AttemptState.NOT_SENT)
    signal: UpstreamSignal = UpstreamSignal.NONE
    cancelled: bool = False
    connection_calls: int = 0

    @property
    def deadline_passed(self) -> bool:
        """Return whether the attempt was not sent because the deadline had passed."""
        return isinstance(self.error, DeadlinePassedError)

    @property
    def says_not_run(self) -> bool:
        """Return whether it has an answer that says that its call was not run."""
        return self.answer is not None and says_not_run(self.answer)

    @property
    def answered(self) -> bool:
        """Return whether it has an answer that is no refusal."""
        return self.answer is not None and not says_not_run(self.answer)

    @property
    def alone_on_connection(self) -> bool:
        """Return whether no earlier call has used the connection, whose answer could come late."""
        return self.connection_calls == 1

    @property
    def refused(self) -> bool:
        """Return whether the upstream did not run the call, by an answer that is surely to this call."""
        return self.says_not_run and self.alone_on_connection


class _ForwardedRequest(aiohttp.ClientRequest):
    """A request whose headers are sent unchanged."""

    _skip_auto_headers = CIMultiDict({"Content-Type": None})
    destination_id = ""
    own_connection = False

    @property
    def connection_key(self) -> ConnectionKey:
        """Return the key of the connections that the request may use."""
        # No pooled connection has a key that holds this request's identity. Without a proxy the
        # field is free for it, and for the id of the destination.
        owner = id(self) if self.own_connection else self.destination_id
        return super().connection_key._replace(proxy_headers_hash=owner)  # type: ignore[arg-type]

    def update_headers(self, headers: Any) -> None:
        """Copy the headers."""
        self.headers = CIMultiDict(headers)

    def update_auto_headers(self, skip_auto_headers: Any) -> None:
        """Add no headers."""

    def update_cookies(self, cookies: Any) -> None:
        """Add no cookies."""

    def update_auth(self, auth: Any, trust_env: bool = False) -> None:
        """Add no credentials."""


class UpstreamClient:
    """Owns the connections to all upstreams."""

    def __init__(self, connector: aiohttp.TCPConnector, settings: AdmissionSettings) -> None:
        self._connector = connector
        self._settings = settings
        self._kept_addresses = create_kept_addresses()
        self._loop = asyncio.get_running_loop()
        self._connect_timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=settings.connect_timeout_s
        )

    async def send(
        self, destination: Destination, request: OutboundRequest, attempt: Attempt
    ) -> None:
        """Send the request, wait for the head of the answer and record the result in `attempt`.

        On cancellation the connection is closed; `attempt.sent` states whether sending had begun.
        """
        attempt.started_at = self._loop.time()
        try:
            attempt.answer = await self._exchange(destination, request, attempt)
            attempt.state = AttemptState.ANSWERED
        except asyncio.CancelledError:
            attempt.cancelled = True
            raise
        except (aiohttp.ClientError, OSError, ValueError, DeadlinePassedError) as error:
            attempt.error = error
            attempt.signal = _signal_of(attempt)

    async def _exchange(
        self, destination: Destination, request: OutboundRequest, attempt: Attempt
    ) -> ClientResponse:
        forwarded = _ForwardedRequest(
            request.method,
            _url(request.scheme, destination, request.target),
            headers=request.headers,
            data=request.body,
            loop=self._loop,
            ssl=request.ssl,
        )
        forwarded.destination_id = destination.id
        forwarded.own_connection = request.own_connection
        connection = await self._connect(destination, forwarded)
        try:
            self._prepare(connection, request, attempt)
            answer = await forwarded.send(connection)
            try:
                return await answer.start(connection)
            except BaseException:
                answer.close()
                raise
        except BaseException:
            connection.close()
            raise

    async def _connect(self, destination: Destination, forwarded: _ForwardedRequest) -> Connection:
        """Return a connection, one of its own if the upstream has lately answered twice."""
        if not self._kept_addresses.keeps(destination):
            forwarded.own_connection = True
        connection = await self._connector.connect(
            forwarded, traces=[], timeout=self._connect_timeout
        )
        protocol = connection.protocol
        assert isinstance(protocol, AnswerProtocol)
        protocol.on_stray_bytes = partial(self._kept_addresses.stop_keeping, destination)
        if forwarded.own_connection:
            protocol.force_close()
        return connection

    def _prepare(self, connection: Connection, request: OutboundRequest, attempt: Attempt) -> None:
        """Set the limits for the answer and check the deadline just before the first byte is sent.

        Since the slot was acquired, the process may have been paused or connecting may have taken
        long. From here on the upstream may receive the request.
        """
        protocol = connection.protocol
        assert isinstance(protocol, AnswerProtocol)
        protocol.set_response_params(
            skip_payload=request.method in METHODS_WITHOUT_ANSWER_BODY,
            read_until_eof=True,
            auto_decompress=False,
            read_timeout=request.idle_timeout_s,
            read_bufsize=READ_BUFFER_BYTES,
            timeout_ceil_threshold=TIMEOUT_CEILING_S,
            max_line_size=MAX_STATUS_LINE_BYTES,
            max_field_size=self._settings.max_answer_header_bytes,
            max_headers=MAX_ANSWER_HEADERS,
        )
        if self._loop.time() >= attempt.deadline:
            raise DeadlinePassedError
        protocol.calls += 1
        attempt.connection_calls = protocol.calls
        attempt.sent = True
        attempt.state = AttemptState.UNKNOWN

    async def close(self) -> None:
        """Close all connections."""
        await self._connector.close()


def _url(scheme: str, destination: Destination, target: str) -> URL:
    host = destination.host
    name = f"[{host}]" if ":" in host else host
    return URL(f"{scheme}://{name}:{destination.port}{target}", encoded=True)


def _signal_of(attempt: Attempt) -> UpstreamSignal:
    error = attempt.error
    if attempt.sent and isinstance(error, aiohttp.ServerDisconnectedError | aiohttp.ClientOSError):
        return UpstreamSignal.DIED
    if isinstance(error, aiohttp.ClientConnectorError):
        return UpstreamSignal.DRAINING
    return UpstreamSignal.NONE


def create_upstream_client(settings: AdmissionSettings) -> UpstreamClient:
    """Create a client; must be called inside the running loop."""
    connector = create_client_connector(
        create_answer_protocol,
        limit=settings.upstream_connections,
        limit_per_host=0,
        keepalive_timeout=settings.upstream_idle_s,
        use_dns_cache=False,
        resolver=aiohttp.ThreadedResolver(),
        happy_eyeballs_delay=None,
    )
    return UpstreamClient(connector, settings)
