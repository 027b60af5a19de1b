"""A fake of the platform's instance list over HTTP, with lag and outages on request.

Run it as `python -m heatherhead.tests.fake_instance_list PORT`; `PUT /admin/instances` replaces
the list, `POST /admin/faults` sets the faults and `GET /admin/calls` returns the number of reads.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from dataclasses import asdict, dataclass
from typing import Any

from aiohttp import web

__all__ = ["FakeInstanceList", "ListFaults", "create_fake_instance_list"]


@dataclass
class ListFaults:
    """The current faults; `lag_s` delays each change of the list, in seconds."""

    outage: bool = False
    lag_s: float = 0.0


class FakeInstanceList:
    """Serves a list of instances and counts its reads."""

    def __init__(self) -> None:
        self.faults = ListFaults()
        self.calls: Counter[str] = Counter()
        self._instances: list[dict[str, Any]] = []
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Listen on the loopback interface and return the list's URL."""
        app = web.Application()
        app.router.add_get("/instances", self._get)
        app.router.add_put("/admin/instances", self._put)
        app.router.add_post("/admin/faults", self._set_faults)
        app.router.add_get("/admin/calls", self._get_calls)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1, handle_signals=False)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        return f"http://127.0.0.1:{self._runner.addresses[0][1]}/instances"

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def replace(self, instances: list[dict[str, Any]]) -> None:
        """Replace the list, after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.lag_s, setattr, self, "_instances", instances)

    async def _get(self, request: web.Request) -> web.Response:
        self.calls["list"] += 1
        if self.faults.outage:
            return web.Response(status=503)
        return web.json_response({"instances": self._instances})

    async def _put(self, request: web.Request) -> web.Response:
        self.replace((await request.json())["instances"])
        return web.json_response({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return web.json_response(asdict(self.faults))

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))


def create_fake_instance_list() -> FakeInstanceList:
    """Create an empty list that does not listen yet."""
    return FakeInstanceList()


async def _serve(port: int) -> None:
    print(await create_fake_instance_list().start(port), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_serve(int(sys.argv[1]) if len(sys.argv) > 1 else 0))
