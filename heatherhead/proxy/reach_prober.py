"""Probes upstreams whose service may be out of reach, so that no call has to find out.

Homes read the load of their upstreams ten times a second and notice a lost link by that. Any other
instance notices only that its calls aren't answered: then upstreams are probed. Services out of
reach are probed until one of their upstreams answers.
"""

from __future__ import annotations

import asyncio
from random import sample
from typing import TYPE_CHECKING

from heatherhead.proxy.answer_matching import answers_health_check
from heatherhead.proxy.health_request import health_request, record_health_answer
from heatherhead.proxy.upstream_connection import BrokenAnswerError
from heatherhead.proxy.upstream_pool import ConnectError

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.dispatch.dispatcher import Dispatcher
    from heatherhead.dispatch.reach import Reach
    from heatherhead.dispatch.upstream_state import UpstreamState
    from heatherhead.proxy.dialect import Dialect
    from heatherhead.proxy.upstream_connection import UpstreamConnection
    from heatherhead.proxy.upstream_pool import UpstreamPool
    from heatherhead.routes.table import RouteTable

__all__ = ["ReachProber", "create_reach_prober"]

CHECK_INTERVAL_S = 0.1
UNANSWERED_S = 0.3  # of a call in flight; then its service is probed, if nobody there has answered
PROBE_INTERVAL_S = 0.5  # of a service out of reach
PROBE_TIMEOUT_S = 0.25  # and the round trip; upstreams answer health checks at once
UPSTREAMS_PER_PROBE = 3


class ReachProber:
    """Sends health checks to a few upstreams of services that may be out of reach."""

    def __init__(
        self,
        table: RouteTable,
        dispatcher: Dispatcher,
        pool: UpstreamPool,
        dialect: Dialect,
        reach: Reach,
        oldest_attempts: Callable[[], dict[str, float]],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._table = table
        self._dispatcher = dispatcher
        self._pool = pool
        self._dialect = dialect
        self._reach = reach
        self._oldest_attempts = oldest_attempts
        reach.probe = lambda service: self._probe_if_due(service, self._loop.time())
        self._probed_at_by_service: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check periodically whether a service has to be probed."""
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self.start)
        now = self._loop.time()
        for service in self._reach.lost_services:
            self._probe_if_due(service, now)
        for service, began_at in self._oldest_attempts().items():
            if now - began_at > UNANSWERED_S and not self._reach.answered_since(service, began_at):
                self._probe_if_due(service, now)

    def stop(self) -> None:
        """Cancel all probes."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    def probe_others(self, service: str) -> None:
        """Probe all services but one, which was found to be out of reach."""
        now = self._loop.time()
        names = {state.entry.service for state in self._dispatcher.states}
        for name in names - {service}:
            if not self._reach.answered_since(name, now - UNANSWERED_S):
                self._probe_if_due(name, now)

    def _probe_if_due(self, service: str, now: float) -> None:
        if now - self._probed_at_by_service.get(service, -PROBE_INTERVAL_S) < PROBE_INTERVAL_S:
            return
        rules = self._table.configuration.service_by_name.get(service)
        path = None if rules is None else rules.health_path
        self._probed_at_by_service[service] = now
        states = self._dispatcher.states_of(service)
        for state in sample(states, min(UPSTREAMS_PER_PROBE, len(states))):
            task = self._loop.create_task(self._probe(state, path))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _probe(self, state: UpstreamState, path: str | None) -> None:
        """Open a connection, and send a health check if the service has one."""
        entry = state.entry
        address = entry.address
        connection: UpstreamConnection | None = None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S + 2 * state.transit_s):
                connection = await self._pool.open(address)
                if path is not None:
                    sent_at = self._loop.time()
                    answer = await connection.exchange(
                        health_request(entry, path),
                        lambda message: answers_health_check(self._dialect, message, entry.id),
                    )
                    record_health_answer(
                        self._dialect,
                        self._dispatcher,
                        state,
                        answer,
                        sent_at=sent_at,
                        now=self._loop.time(),
                    )
        except (ConnectError, BrokenAnswerError, TimeoutError) as error:
            connected = connection is not None and isinstance(error, TimeoutError)
            reason = f"probe: {error!r}"
            self._reach.record_failure(entry.service, entry.id, reason, connected=connected)
            return
        self._pool.release(address, connection)
        self._reach.record_answer(entry.service)


def create_reach_prober(
    table: RouteTable,
    dispatcher: Dispatcher,
    pool: UpstreamPool,
    dialect: Dialect,
    reach: Reach,
    oldest_attempts: Callable[[], dict[str, float]],
) -> ReachProber:
    """Create a prober; `oldest_attempts` returns when the oldest unanswered one of each service
    was sent.
    """
    return ReachProber(table, dispatcher, pool, dialect, reach, oldest_attempts)
