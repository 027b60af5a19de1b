"""A site of operators' servers in a thread, beside which the tool runs as it does for a person."""

from __future__ import annotations

import asyncio
import threading
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

from heatherhead.__main__ import main
from heatherhead.membership.interface import Address
from heatherhead.tests.operators.fakes import running_harness

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator

    import pytest

    from heatherhead.settings.instance import TlsSettings
    from heatherhead.tests.operators.fakes import OperatorsHarness

__all__ = ["CuttingProxy", "Run", "HarnessThread", "Tool", "harness_thread"]

ResultT = TypeVar("ResultT")


class CuttingProxy:
    """Passes bytes on to a server; while `is_cutting`, it drops replies and then hangs up."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self.is_cutting = False

    async def start(self) -> Address:
        """Listen on a free port of the loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return Address(host, port)

    async def stop(self) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        upstream = await asyncio.open_connection(self._target.host, self._target.port)
        requests = asyncio.create_task(self._pass_on(reader, upstream[1], may_cut=False))
        await self._pass_on(upstream[0], writer, may_cut=True)
        requests.cancel()
        writer.close()
        upstream[1].close()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, may_cut: bool
    ) -> None:
        while data := await reader.read(65536):
            if may_cut and self.is_cutting:
                return
            writer.write(data)


@dataclass(frozen=True, slots=True)
class Run:
    """What one run of the tool ended in."""

    code: int
    out: str
    err: str


class HarnessThread:
    """Runs a site's servers on a loop of their own."""

    def __init__(self, harness: OperatorsHarness, loop: asyncio.AbstractEventLoop) -> None:
        self.harness = harness
        self._loop = loop

    def call(self, coroutine: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Run a coroutine on the site's loop and wait for its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()


class Tool:
    """Runs the tool with captured output."""

    def __init__(self, addresses: list[Address], capture: pytest.CaptureFixture[str]) -> None:
        self.addresses = addresses
        self._capture = capture

    def run(self, *words: str) -> Run:
        """Run the tool against the addresses."""
        options = [f"--address={','.join(map(str, self.addresses))}"]
        self._capture.readouterr()
        code = main([*words, *options])
        out, err = self._capture.readouterr()
        return Run(code, out, err)


@contextmanager
def harness_thread(servers: int = 1, tls: TlsSettings | None = None) -> Iterator[HarnessThread]:
    """Run a site in a thread until the end of the block."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    context = running_harness(servers, tls)

    def call(coroutine: Coroutine[Any, Any, ResultT]) -> ResultT:
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result()

    try:
        harness = call(context.__aenter__())
        yield HarnessThread(harness, loop)
        call(context.__aexit__(None, None, None))
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()
