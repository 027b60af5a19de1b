"""Sends calls over another instance while this one can't reach the upstreams of their service.

The other instance handles them like its callers' calls, on a port for peers. It never sends them on
to a third one: a call that it can't send to an upstream either is refused with `CANNOT_SERVE`, as
not run, and may be offered to the next instance. That an order has not run is believed of a peer's own
answer only, which says so (`NOT_RUN`), and not of a status that it passes on.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from multidict import CIMultiDict, CIMultiDictProxy

from heatherhead.proxy.answer_matching import answers_call
from heatherhead.proxy.messages import end_to_end_headers, request_bytes
from heatherhead.proxy.upstream_connection import BrokenAnswerError
from heatherhead.proxy.upstream_pool import ConnectError, create_upstream_pool
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.dispatch.regions import Regions
    from heatherhead.entry.settings import HostPort
    from heatherhead.proxy.answer_memory import AnswerMemory
    from heatherhead.proxy.dialect import Dialect
    from heatherhead.proxy.messages import HttpRequest
    from heatherhead.proxy.upstream_connection import UpstreamAnswer
    from heatherhead.registry.entries import UpstreamEntry

__all__ = [
    "CANNOT_SERVE",
    "LEAVING_UPSTREAM",
    "NOT_RUN",
    "DetourCall",
    "DetourResult",
    "DetourTerms",
    "Detours",
    "create_detours",
    "read_terms",
    "start_name",
    "without_terms",
]

CANNOT_SERVE = 421  # the status of a refusal after which the call may be offered to another peer
SERVICE = "Heatherhead-Service"
ATTEMPTS_LEFT = "Heatherhead-Attempts-Left"
CONFIGURATION_VERSION = "Heatherhead-Configuration-Version"
NOT_RUN = "Heatherhead-Not-Run"  # "1" in a peer's own answer that promises so
LEAVING_UPSTREAM = "Heatherhead-Leaving-Upstream"  # in a peer's answer: the start of its upstream
MAX_PEERS = 3  # that one call is offered to
NON_IDEMPOTENT_MAX_IDLE_S = 1.0  # peers may have dropped connections that were idle for longer
CONNECT_TIMEOUT_S = 0.25  # several round trips between regions


@dataclass(frozen=True, slots=True)
class DetourCall:
    """A call to be sent over another instance."""

    request: HttpRequest
    service: str
    request_id: str
    idempotent: bool
    attempts_left: int
    configuration_version: int
    give_up_at: float
    keys_required: bool = False  # the peer identifies the customer again
    regions: Regions = None  # that may get the call; the peer finds them by its route and customer


@dataclass(frozen=True, slots=True)
class DetourTerms:
    """What the sending instance tells of a call."""

    service: str
    attempts_left: int
    configuration_version: int


@dataclass(frozen=True, slots=True)
class DetourResult:
    """How a detour ended.

    With `sent` the call may have run, unless there is an answer and the peer says `not_run`.
    """

    answer: UpstreamAnswer | None
    sent: bool
    reason: str
    not_run: bool = False


def read_terms(headers: CIMultiDictProxy[str]) -> DetourTerms | None:
    """Return the terms of a call that a peer has sent, `None` if they are malformed."""
    try:
        return DetourTerms(
            headers[SERVICE], int(headers[ATTEMPTS_LEFT]), int(headers[CONFIGURATION_VERSION])
        )
    except (KeyError, ValueError):
        return None


def start_name(entry: UpstreamEntry) -> str:
    """Return how instances name the start of an upstream to each other."""
    return f"{entry.id} {entry.started_ms}"


def without_terms(request: HttpRequest) -> HttpRequest:
    """Return the request as its caller sent it."""
    headers = CIMultiDict(request.headers)
    for name in (SERVICE, ATTEMPTS_LEFT, CONFIGURATION_VERSION):
        headers.popall(name, None)
    return replace(request, headers=CIMultiDictProxy(headers))


class Detours:
    """Sends calls over peers, on connections that are kept."""

    def __init__(
        self,
        memory: AnswerMemory,
        dialect: Dialect,
        peers_for: Callable[[str, Regions], list[HostPort]],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._pool = create_upstream_pool(memory, CONNECT_TIMEOUT_S)
        self._dialect = dialect
        self._peers_for = peers_for

    def available(self, service: str, regions: Regions = None) -> bool:
        """Return whether there is a peer in some regions that may reach a service."""
        return bool(self._peers_for(service, regions))

    async def send(self, call: DetourCall) -> DetourResult:
        """Offer a call to peers, one after the other, until one takes it."""
        reason = "no peer"
        for peer in self._peers_for(call.service, call.regions)[:MAX_PEERS]:
            result = await self._send_to(peer, call)
            log_event(
                "detour",
                id=call.request_id,
                service=call.service,
                peer=peer,
                status=0 if result.answer is None else result.answer.status,
                not_run=result.not_run,
                reason=result.reason,
            )
            if result.sent:
                return result
            reason = result.reason
            if self._loop.time() >= call.give_up_at:
                break
        return DetourResult(None, False, reason)

    async def _send_to(self, peer: HostPort, call: DetourCall) -> DetourResult:
        try:
            if call.request.method == "HEAD":
                connection = await self._pool.open_for_head(peer)
            elif not call.request_id:  # which would tell an earlier answer from its own
                connection = await self._pool.open(peer)
            else:
                max_idle_s = None if call.idempotent else NON_IDEMPOTENT_MAX_IDLE_S
                connection = await self._pool.acquire(peer, max_idle_s, request_id=call.request_id)
        except ConnectError as error:
            return DetourResult(None, False, str(error))
        headers = end_to_end_headers(call.request.headers)
        if call.keys_required:
            self._dialect.copy_key(headers, call.request.headers)
        self._dialect.set_client_timeout(headers, call.give_up_at - self._loop.time())
        headers[SERVICE] = call.service
        headers[ATTEMPTS_LEFT] = str(call.attempts_left)
        headers[CONFIGURATION_VERSION] = str(call.configuration_version)
        try:
            answer = await connection.exchange(
                request_bytes(call.request, headers),
                lambda message: answers_call(
                    self._dialect,
                    message,
                    call.request_id,
                    peer,
                    reused=connection.calls > 1,
                    may_lack_id=False,
                ),
                call.request_id,
            )
        except BrokenAnswerError as error:
            return DetourResult(None, True, str(error))
        if call.request.method == "HEAD" or not call.request_id:
            connection.close()
        else:
            self._pool.release(peer, connection)
        not_run = answer.header(NOT_RUN) == "1" and not connection.id_carried
        if answer.status == CANNOT_SERVE and (not_run or call.idempotent):
            reason = answer.body.decode(errors="replace").strip()
            return DetourResult(None, False, reason, not_run)
        return DetourResult(answer, True, "answered", not_run)

    def close(self) -> None:
        """Close the kept connections."""
        self._pool.close()


def create_detours(
    memory: AnswerMemory, dialect: Dialect, peers_for: Callable[[str, Regions], list[HostPort]]
) -> Detours:
    """Create them; `peers_for` lists the peers in regions that may reach a service, best first."""
    return Detours(memory, dialect, peers_for)
