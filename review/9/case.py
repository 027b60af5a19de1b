"""Two servers crash while they run the same read: all machines refuse it for a minute."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.clients import Client, Route  # noqa: E402
from standins2.deployment import Deployment, run_case  # noqa: E402
from standins2.servers import Server  # noqa: E402

READERS = 48
POLL_S = 1.0
CRASH_AT_S = 5.0  # after the second configuration: over `ConfigApplyS`
INTO_POLL_S = 0.05
CRASHED = 2  # of 12: a share of 0.17
DOWN_S = 4.3
STEADY_AFTER_S = 3.0  # `ContactS`
OBSERVED_S = 30.0
CONTACT_REQUESTS = 20
SERVED_PART = 0.25
VIEW = {
    "Hostname": "jepu9.example",
    "Prefix": "/view/",
    "RouteType": "idempotent",
    "TargetLatencyS": 0.2,
    "TimeoutS": 1,
    "Priority": 2,
    "Service": "catalogue",
    "MaxAttempts": 2,
}


class CrashingServer(Server):
    """A server that can crash and start again as another one."""

    async def crash(self) -> None:
        """Lose all connections and the address."""
        self.deployment.record("crash", server=self.name, running=self.running)
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def return_as(self, name: str) -> None:
        """Start again with another id; the entry of the start before has lapsed."""
        self.deployment.store.remove(f"servers/{self.name}")
        self.name = name
        self.running = self.waiting = 0
        await self.start()


async def _poll(client: Client, at: float, until: float, spread_s: float) -> None:
    while at < until:
        await asyncio.sleep(max(0.0, at - time.monotonic() + random.uniform(0.0, spread_s)))
        await client.send()
        at += POLL_S


def _served(clients: list[Client], since: float) -> tuple[int, int, int]:
    sent = [each for client in clients for each in client.sent if each.ended_s >= since]
    refused = sum(each.status == 503 for each in sent)
    return len(sent), sum(each.status == 200 for each in sent), refused


async def case(folder: Path, trouble: bool) -> bool:
    """Return whether CONFIG was broken: a route added later is served a quarter as often at most."""
    deployment = Deployment(folder, daemons=2)
    zones = ("rabat-a", "kenitra-b")
    servers = [
        CrashingServer(deployment, f"i-cat{n:02}", "catalogue", zones[n % 2], 0.06)
        for n in range(12)
    ]
    try:
        await deployment.start(list(servers), {"r-view": VIEW})
        deployment.configure({"r-view": VIEW, "r-news": VIEW | {"Prefix": "/news/"}})
        began = time.monotonic() + CRASH_AT_S
        down_until = began + DOWN_S
        steady_at = down_until + STEADY_AFTER_S
        until = steady_at + OBSERVED_S
        news = [Client(deployment, Route("GET", "/news/today", 2000)) for _ in range(READERS)]
        views = [Client(deployment, Route("GET", f"/view/{n}", 2000)) for n in range(READERS)]
        work = [
            asyncio.create_task(_poll(client, began - 3.0 + offset, until, spread))
            for clients, offset, spread in ((news, 0.0, 0.04), (views, 0.5, 0.4))
            for client in clients
        ]
        await asyncio.sleep(began + INTO_POLL_S - time.monotonic())
        if trouble:
            crashed = random.sample(servers, CRASHED)
            for each in crashed:
                await each.crash()
            await asyncio.sleep(DOWN_S)
            for each in crashed:
                await each.return_as(f"{each.name}b")
        await asyncio.gather(*work)
        news_sent, news_served, refused = _served(news, steady_at)
        view_sent, view_served, _ = _served(views, steady_at)
        print(f"routes added later: {news_served} of {news_sent} served, {refused} answered 503")
        print(f"first routes: {view_served} of {view_sent} served")
        if news_sent < CONTACT_REQUESTS or not view_served:
            return False
        return news_served / news_sent < SERVED_PART * view_served / view_sent
    finally:
        await deployment.stop()


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
