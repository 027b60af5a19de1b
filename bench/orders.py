"""Callers that send keyed orders until the outcome of each is known, and check every answer.

A caller resends with the same idempotency key while the outcome is unknown. It uses a new key only
after an answer that the call was not run.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import aiohttp

from bench.fake_upstream import RUN_ID_HEADER

if TYPE_CHECKING:
    from random import Random

__all__ = ["Order", "OrderLog", "OrderState", "OrderingCaller"]

DEADLINE_MS = 2_000
CALL_TIMEOUT_S = 3.0
MAX_SENDS_PER_KEY = 8
MAX_KEYS_PER_ORDER = 8
RETRY_PAUSE_S = 0.15
ADDRESS_RETRY_INTERVAL_S = 1.0
FORWARDED_SHARE = 0.3


class OrderState(StrEnum):
    """The final outcome of an order as its caller knows it."""

    DONE = "done"
    RAN = "ran"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


@dataclass(slots=True)
class Order:
    """One order, sent under one or more keys.

    `run_ids` has an id for each key and `not_run_ids` those that were answered with "not run".
    `broken_connections` counts the connections that broke during a call of this order.
    """

    name: str
    started_at: float
    run_ids: list[str] = field(default_factory=list)
    not_run_ids: list[str] = field(default_factory=list)
    state: OrderState = OrderState.NOT_RUN
    broken_connections: int = 0


@dataclass(slots=True)
class OrderLog:
    """Orders, reads and wrong answers of all callers."""

    orders: list[Order] = field(default_factory=list)
    reads: int = 0
    reads_done: int = 0
    wrong_answers: int = 0


class _UnknownOutcomeError(Exception):
    """The outcome of a call is unknown, because its connection broke or for another reason."""

    def __init__(self, reason: str, *, connection_broken: bool = False) -> None:
        super().__init__(reason)
        self.connection_broken = connection_broken


class _NotRunError(Exception):
    """The answer says that the call was not run."""


class _RanError(Exception):
    """The answer says that the call ran, without its result."""


class OrderingCaller:
    """A caller that sends one call at a time to the addresses of its latest address answer."""

    def __init__(
        self,
        name: str,
        session: aiohttp.ClientSession,
        entry_urls: list[str],
        rng: Random,
        order_log: OrderLog,
        answer_bytes: int,
    ) -> None:
        self._name = name
        self._session = session
        self._entry_urls = entry_urls
        self._rng = rng
        self._order_log = order_log
        self._answer_bytes = answer_bytes
        self._urls: list[str] = []
        self._grant = ""
        self._grant_url = ""
        self._addresses_expire_at = 0.0
        self._serial = 0

    async def run(self, until: float, pause_s: float) -> None:
        """Alternate orders and reads until this time of the event loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self._order()
            await self._read()
            await asyncio.sleep(self._rng.expovariate(1 / pause_s))

    async def _order(self) -> None:
        self._serial += 1
        order = Order(f"{self._name}-{self._serial}", asyncio.get_running_loop().time())
        self._order_log.orders.append(order)
        for key_number in range(MAX_KEYS_PER_ORDER):
            try:
                await self._refresh()
                await self._send_until_known(order, f"{order.name}-{key_number}")
            except _NotRunError:
                order.not_run_ids.append(order.run_ids[-1])
                self._addresses_expire_at = 0.0
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            except _RanError:
                order.state = OrderState.RAN
            except _UnknownOutcomeError:
                order.state = OrderState.UNKNOWN
            else:
                order.state = OrderState.DONE
            return

    async def _send_until_known(self, order: Order, run_id: str) -> None:
        """Send an order with one key until its outcome is known.

        The first call goes to the grant's owner or, with probability `FORWARDED_SHARE`, to a random
        instance, which forwards it to the owner. Resends go to random instances.
        """
        key = f"{self._grant}.{run_id}"
        order.run_ids.append(run_id)
        url = self._grant_url
        for resend in range(MAX_SENDS_PER_KEY):
            if resend or self._rng.random() < FORWARDED_SHARE:
                url = self._rng.choice([self._grant_url, *self._urls])
            try:
                await self._post(url, key, run_id)
                return
            except _UnknownOutcomeError as error:
                order.broken_connections += error.connection_broken
                if resend == MAX_SENDS_PER_KEY - 1:
                    raise
                await asyncio.sleep(RETRY_PAUSE_S * (resend + 1))

    async def _post(self, url: str, key: str, run_id: str) -> None:
        headers = {"Idempotency-Key": key, RUN_ID_HEADER: run_id}
        status, document = await self._call("POST", url, run_id, headers)
        if status == 200:
            return
        outcome = document.get("outcome")
        if outcome == "not-run":
            raise _NotRunError
        if outcome == "ran":
            raise _RanError
        raise _UnknownOutcomeError(str(document))

    async def _read(self) -> None:
        """Send an idempotent call, with up to two retries to random instances."""
        self._order_log.reads += 1
        self._serial += 1
        run_id = f"read-{self._name}-{self._serial}"
        for _ in range(3):
            try:
                await self._refresh()
                url = self._rng.choice(self._urls)
                status, _ = await self._call("GET", url, run_id, {RUN_ID_HEADER: run_id})
            except _UnknownOutcomeError:
                self._addresses_expire_at = 0.0
                continue
            if status == 200:
                self._order_log.reads_done += 1
                return

    async def _call(
        self, method: str, url: str, run_id: str, headers: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        headers = {**headers, "Heatherhead-Deadline-Ms": str(DEADLINE_MS)}
        data = b"order" if method == "POST" else None
        try:
            async with self._session.request(
                method, url + "/orders", headers=headers, data=data
            ) as answer:
                body = await answer.read()
        except aiohttp.ClientConnectorError as error:
            raise _UnknownOutcomeError(repr(error)) from error
        except (aiohttp.ClientError, ConnectionError) as error:
            raise _UnknownOutcomeError(repr(error), connection_broken=True) from error
        except TimeoutError as error:
            raise _UnknownOutcomeError("timeout") from error
        if answer.content_type == "application/problem+json":
            return answer.status, json.loads(body)
        if answer.status == 200:
            is_complete = len(body) == self._answer_bytes
            if not is_complete or answer.headers.get(RUN_ID_HEADER) != run_id:
                self._order_log.wrong_answers += 1
        return answer.status, {}

    async def _refresh(self) -> None:
        """Ask for addresses and a grant if the latest address answer has expired."""
        loop = asyncio.get_running_loop()
        while loop.time() >= self._addresses_expire_at:
            url = self._rng.choice(self._urls or self._entry_urls)
            try:
                async with self._session.get(
                    f"{url}/v1/addresses", params={"service": "orders"}
                ) as answer:
                    document = await answer.json()
                    if answer.status == 200:
                        self._apply_address_answer(document, loop.time())
                        return
            except (aiohttp.ClientError, ConnectionError, TimeoutError):
                pass
            self._urls = []
            await asyncio.sleep(RETRY_PAUSE_S / 3)

    def _apply_address_answer(self, document: dict[str, Any], now: float) -> None:
        self._urls = [f"http://{each['address']}" for each in document["addresses"]]
        self._grant = document["grant"]
        self._grant_url = f"http://{document['grant_address']}"
        self._addresses_expire_at = now + float(document["keep_s"])
