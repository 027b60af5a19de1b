"""A caller of heatherhead that uses address answers and sends orders with idempotency keys.

Run as `python examples/caller.py http://127.0.0.1:8080 stock`. It sends one read and one order.
"""

from __future__ import annotations

import asyncio
import random
import sys
import uuid
from dataclasses import dataclass, field

import aiohttp

MAX_SENDS = 4
RETRY_DELAY_S = 0.2
DEADLINE_MS = 5_000


class OutcomeUnknownError(Exception):
    """The order may or may not have run; check with the service before ordering again."""


@dataclass
class Caller:
    """Caches the address answer of one service for as long as it is valid."""

    session: aiohttp.ClientSession
    entry_url: str
    service: str
    urls: list[str] = field(default_factory=list)
    grant: str = ""
    grant_url: str = ""
    valid_until: float = 0.0

    async def refresh(self) -> None:
        """Request addresses and a grant if the last answer has expired."""
        loop = asyncio.get_running_loop()
        if loop.time() < self.valid_until:
            return
        async with self.session.get(
            f"{self.entry_url}/v1/addresses", params={"service": self.service}
        ) as answer:
            answer.raise_for_status()
            document = await answer.json()
        self.urls = [f"http://{each['address']}" for each in document["addresses"]]
        self.grant = document["grant"]
        self.grant_url = f"http://{document['grant_address']}"
        self.valid_until = loop.time() + document["keep_s"]

    async def read(self, path: str) -> bytes:
        """Send an idempotent call; it may go to any address and may be sent again."""
        for _ in range(MAX_SENDS):
            await self.refresh()
            try:
                async with self.session.get(random.choice(self.urls) + path) as answer:
                    answer.raise_for_status()
                    return await answer.read()
            except aiohttp.ClientError:
                self.valid_until = 0.0
                await asyncio.sleep(RETRY_DELAY_S)
        raise TimeoutError(f"no answer to {path}")

    async def order(self, path: str, body: bytes) -> bytes:
        """Send a call that must run at most once.

        Raises `OutcomeUnknownError` if it can't be determined whether the order ran.
        """
        for _ in range(MAX_SENDS):
            await self.refresh()
            key = f"{self.grant}.{uuid.uuid4()}"
            answer = await self._send_keyed(path, body, key)
            if answer is not None:
                return answer
            self.valid_until = 0.0  # the call was not run; a new grant and key can't run it twice
            await asyncio.sleep(RETRY_DELAY_S)
        raise TimeoutError(f"{path} was not run")

    async def _send_keyed(self, path: str, body: bytes, key: str) -> bytes | None:
        """Send until the outcome is known; return `None` if the call was not run."""
        headers = {"Idempotency-Key": key, "Heatherhead-Deadline-Ms": str(DEADLINE_MS)}
        reason = ""
        for _ in range(MAX_SENDS):
            try:
                async with self.session.post(
                    self.grant_url + path, data=body, headers=headers
                ) as answer:
                    if answer.headers.get("Heatherhead-Not-Run") == "true":
                        return None
                    if answer.content_type != "application/problem+json":
                        return await answer.read()
                    problem = await answer.json()
            except aiohttp.ClientError as error:
                reason = str(error)
            else:
                reason = problem.get("title", "")
                if problem.get("outcome") == "ran":
                    break
            await asyncio.sleep(RETRY_DELAY_S)
        raise OutcomeUnknownError(reason)


async def run(entry_url: str, service: str) -> None:
    """Send one read and one order."""
    async with aiohttp.ClientSession() as session:
        caller = Caller(session, entry_url, service)
        print("read:", len(await caller.read("/stock")), "bytes")
        print("order:", len(await caller.order("/orders", b"one pallet")), "bytes")


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], sys.argv[2]))
