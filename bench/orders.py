"""Callers that send keyed orders until they know what became of each, and check every answer.

They resend with the same key while the outcome is unknown, and use a new key only when they are
told that a call was not run.
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

__all__ = ["Ledger", "Order", "OrderState", "OrderingCaller"]

DEADLINE_MS = 2_000
TIMEOUT_S = 3.0
RESENDS = 8
NEW_KEYS = 8
PAUSE_S = 0.15
FALLBACK_KEEP_S = 1.0
PASSED_ON_SHARE = 0.3


class OrderState(StrEnum):
    """What a caller knows of its order in the end."""

    DONE = "done"
    RAN = "ran"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


@dataclass(slots=True)
class Order:
    """One order; each key has a run id of its own."""

    name: str
    started_at: float
    run_ids: list[str] = field(default_factory=list)
    told_not_run: list[str] = field(default_factory=list)
    state: OrderState = OrderState.NOT_RUN
    cut: int = 0


@dataclass(slots=True)
class Ledger:
    """All that the callers saw."""

    orders: list[Order] = field(default_factory=list)
    reads: int = 0
    reads_done: int = 0
    wrong_answers: int = 0


class _UnknownOutcomeError(Exception):
    """The caller has no news of its call; `cut` tells that its connection ended within it."""

    def __init__(self, reason: str, *, cut: bool = False) -> None:
        super().__init__(reason)
        self.cut = cut


class _NotRunError(Exception):
    """The caller was told that its call was not run."""


class _RanError(Exception):
    """The caller was told that its call ran."""


class OrderingCaller:
    """One caller: follows address answers, sends one call at a time."""

    def __init__(
        self,
        name: str,
        session: aiohttp.ClientSession,
        entry_urls: list[str],
        rng: Random,
        ledger: Ledger,
        answer_bytes: int,
    ) -> None:
        self._name = name
        self._session = session
        self._entry_urls = entry_urls
        self._rng = rng
        self._ledger = ledger
        self._answer_bytes = answer_bytes
        self._urls: list[str] = []
        self._grant = ""
        self._grant_url = ""
        self._keep_until = 0.0
        self._serial = 0

    async def run(self, until: float, pause_s: float) -> None:
        """Send orders and reads in turn until a moment of the loop's clock."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await self._order()
            await self._read()
            await asyncio.sleep(self._rng.expovariate(1 / pause_s))

    async def _order(self) -> None:
        self._serial += 1
        order = Order(f"{self._name}-{self._serial}", asyncio.get_running_loop().time())
        self._ledger.orders.append(order)
        for attempt in range(NEW_KEYS):
            try:
                await self._refresh()
                await self._send_until_known(order, f"{order.name}-{attempt}")
            except _NotRunError:
                order.told_not_run.append(order.run_ids[-1])
                self._keep_until = 0.0
                await asyncio.sleep(PAUSE_S)
                continue
            except _RanError:
                order.state = OrderState.RAN
            except _UnknownOutcomeError:
                order.state = OrderState.UNKNOWN
            else:
                order.state = OrderState.DONE
            return

    async def _send_until_known(self, order: Order, run_id: str) -> None:
        """Send one key again and again until its outcome is known."""
        key = f"{self._grant}.{run_id}"
        order.run_ids.append(run_id)
        url = self._grant_url
        for resend in range(RESENDS):
            if resend or self._rng.random() < PASSED_ON_SHARE:
                url = self._rng.choice([self._grant_url, *self._urls])
            try:
                await self._post(url, key, run_id)
                return
            except _UnknownOutcomeError as error:
                order.cut += error.cut
                if resend == RESENDS - 1:
                    raise
                await asyncio.sleep(PAUSE_S * (resend + 1))

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
        """Send an idempotent call, again elsewhere if it fails."""
        self._ledger.reads += 1
        self._serial += 1
        run_id = f"read-{self._name}-{self._serial}"
        for _ in range(3):
            try:
                await self._refresh()
                url = self._rng.choice(self._urls)
                status, _ = await self._call("GET", url, run_id, {RUN_ID_HEADER: run_id})
            except _UnknownOutcomeError:
                self._keep_until = 0.0
                continue
            if status == 200:
                self._ledger.reads_done += 1
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
            raise _UnknownOutcomeError(repr(error), cut=True) from error
        except TimeoutError as error:
            raise _UnknownOutcomeError("timeout") from error
        if answer.content_type == "application/problem+json":
            return answer.status, json.loads(body)
        if answer.status == 200:
            whole = len(body) == self._answer_bytes
            if not whole or answer.headers.get(RUN_ID_HEADER) != run_id:
                self._ledger.wrong_answers += 1
        return answer.status, {}

    async def _refresh(self) -> None:
        """Ask for addresses and a grant when the last answer has run out."""
        loop = asyncio.get_running_loop()
        while loop.time() >= self._keep_until:
            url = self._rng.choice(self._urls or self._entry_urls)
            try:
                async with self._session.get(
                    f"{url}/v1/addresses", params={"service": "orders"}
                ) as answer:
                    document = await answer.json()
                    if answer.status == 200:
                        self._take(document, loop.time())
                        return
            except (aiohttp.ClientError, ConnectionError, TimeoutError):
                pass
            self._urls = []
            await asyncio.sleep(PAUSE_S / 3)

    def _take(self, document: dict[str, Any], now: float) -> None:
        self._urls = [f"http://{each['address']}" for each in document["addresses"]]
        self._grant = document["grant"]
        self._grant_url = f"http://{document['grant_address']}"
        self._keep_until = now + float(document["keep_s"])
