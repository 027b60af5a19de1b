"""Reads the load of upstreams from their health path.

Each reading returns its connection to the pool, so that every upstream has a recently used idle
connection. Non-idempotent requests reuse only such connections; without one, each of them would
open a new connection.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from heatherhead.proxy.answer_matching import answers_health_check
from heatherhead.proxy.dialect import read_rate_limit
from heatherhead.proxy.health_request import (
    health_request,
    is_of_another_upstream,
    record_health_answer,
)
from heatherhead.proxy.upstream_connection import BrokenAnswerError
from heatherhead.proxy.upstream_pool import ConnectError
from heatherhead.supervision import run_supervised

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.dispatch.dispatcher import Dispatcher
    from heatherhead.dispatch.reach import Reach
    from heatherhead.dispatch.upstream_state import LoadReading, UpstreamState
    from heatherhead.proxy.dialect import Dialect
    from heatherhead.proxy.upstream_connection import UpstreamConnection
    from heatherhead.proxy.upstream_pool import UpstreamPool
    from heatherhead.registry.entries import UpstreamAddress
    from heatherhead.routes.table import RouteTable

__all__ = ["LoadReader", "create_load_reader"]

READ_TIMEOUT_S = 0.25  # a later reading no longer reflects the upstream's load
RECONNECT_DELAY_S = 0.5
FAILURES_TO_EJECT = 2  # readings in a row


class LoadReader:
    """Reads the load of the upstreams assigned to this instance periodically."""

    def __init__(
        self,
        table: RouteTable,
        dispatcher: Dispatcher,
        pool: UpstreamPool,
        dialect: Dialect,
        reach: Reach,
        assigned: Callable[[UpstreamState], bool],
        interval_s: Callable[[], float],
        on_reading: Callable[[UpstreamState, LoadReading], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._table = table
        self._dispatcher = dispatcher
        self._pool = pool
        self._dialect = dialect
        self._reach = reach
        self._assigned = assigned
        self._interval_s = interval_s
        self._on_reading = on_reading
        self._state_and_task_by_id: dict[str, tuple[UpstreamState, asyncio.Task[None]]] = {}

    def update(self) -> None:
        """Start and stop reading after a change of the upstreams or of their assignment."""
        for upstream_id in list(self._state_and_task_by_id):
            self.update_upstream(upstream_id)
        for state in self._dispatcher.states:
            self._start(state)

    def update_upstream(self, upstream_id: str) -> None:
        """Start or stop reading one upstream after a change of its entry."""
        state = self._dispatcher.state(upstream_id)
        current = self._state_and_task_by_id.get(upstream_id)
        # A restarted upstream keeps its id but gets a new state object.
        if current is not None and (state is not current[0] or not self._assigned(current[0])):
            current[1].cancel()
            del self._state_and_task_by_id[upstream_id]
        if state is not None:
            self._start(state)

    def _start(self, state: UpstreamState) -> None:
        upstream_id = state.entry.id
        if upstream_id not in self._state_and_task_by_id and self._assigned(state):
            task = self._loop.create_task(
                run_supervised("load_reader", partial(self._read_forever, state))
            )
            self._state_and_task_by_id[upstream_id] = (state, task)

    async def _read_forever(self, state: UpstreamState) -> None:
        loop = self._loop
        address = state.entry.address
        failures = 0
        due_at = loop.time()
        while True:
            await asyncio.sleep(due_at - loop.time())
            due_at = max(due_at + self._interval_s(), loop.time())
            rules = self._table.configuration.service_by_name.get(state.entry.service)
            if rules is None or rules.health_path is None:
                continue
            try:
                connection = await self._connect(state, address)
                await self._read(state, connection, rules.health_path)
            except (ConnectError, BrokenAnswerError, TimeoutError) as error:
                failures += 1
                entry = state.entry
                self._reach.record_failure(
                    entry.service,
                    entry.id,
                    f"load reading: {error!r}",
                    connected=isinstance(error, TimeoutError),
                )
                if failures >= FAILURES_TO_EJECT:
                    state.eject(loop.time())
                due_at = loop.time() + RECONNECT_DELAY_S
            else:
                failures = 0
                self._pool.release(address, connection, for_call=False)

    async def _connect(self, state: UpstreamState, address: UpstreamAddress) -> UpstreamConnection:
        started_at = self._loop.time()
        connection = await self._pool.acquire(address, for_call=False)
        if connection.calls == 0:
            zone = state.entry.availability_zone
            self._dispatcher.record_round_trip(zone, self._loop.time() - started_at)
        return connection

    async def _read(self, state: UpstreamState, connection: UpstreamConnection, path: str) -> None:
        entry = state.entry
        data = health_request(entry, path)
        started_at = self._loop.time()
        async with asyncio.timeout(READ_TIMEOUT_S + state.transit_s):
            answer = await connection.exchange(
                data, lambda message: answers_health_check(self._dialect, message, entry.id)
            )
        now = self._loop.time()
        self._reach.record_answer(state.entry.service)
        if is_of_another_upstream(self._dialect, entry, answer):
            return
        reading = self._dialect.load_reading(answer.message.headers, (started_at + now) / 2)
        if reading is not None:
            self._dispatcher.apply_reading(state, reading)
            self._on_reading(state, reading)
        record_health_answer(
            self._dialect, self._dispatcher, state, answer, sent_at=started_at, now=now
        )
        if self._dialect.answering_upstream(answer.message.headers) == state.entry.id:
            evidence = read_rate_limit(
                self._dialect, answer.message.headers, state.entry.id, sent_at=started_at, now=now
            )
            if evidence is not None:
                self._dispatcher.record_rate_limit(state, replace(evidence, in_health_answer=True))

    def stop(self) -> None:
        """Stop reading all upstreams."""
        for _, task in self._state_and_task_by_id.values():
            task.cancel()
        self._state_and_task_by_id.clear()


def create_load_reader(
    table: RouteTable,
    dispatcher: Dispatcher,
    pool: UpstreamPool,
    dialect: Dialect,
    reach: Reach,
    assigned: Callable[[UpstreamState], bool],
    interval_s: Callable[[], float],
    on_reading: Callable[[UpstreamState, LoadReading], None],
) -> LoadReader:
    """Create a load reader; must be called inside the running loop."""
    return LoadReader(table, dispatcher, pool, dialect, reach, assigned, interval_s, on_reading)
