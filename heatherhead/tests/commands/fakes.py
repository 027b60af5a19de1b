"""Operators' servers in a thread, and the tool run against them through its main function."""

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

__all__ = ["ReplyDroppingProxy", "HarnessThread", "Tool", "ToolResult", "harness_thread"]

ResultT = TypeVar("ResultT")


class ReplyDroppingProxy:
    """Forwards bytes to a server.

    While `drops_replies` is set, it drops the server's next bytes and closes the connection.
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self.drops_replies = False

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
        requests = asyncio.create_task(self._forward(reader, upstream[1], may_drop=False))
        await self._forward(upstream[0], writer, may_drop=True)
        requests.cancel()
        writer.close()
        upstream[1].close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, may_drop: bool
    ) -> None:
        while data := await reader.read(65536):
            if may_drop and self.drops_replies:
                return
            writer.write(data)


@dataclass(frozen=True, slots=True)
class ToolResult:
    """The exit code and output of one run of the tool."""

    code: int
    out: str
    err: str


class HarnessThread:
    """A harness whose servers run on an event loop in another thread."""

    def __init__(self, harness: OperatorsHarness, loop: asyncio.AbstractEventLoop) -> None:
        self.harness = harness
        self._loop = loop

    def call(self, coroutine: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Run a coroutine on the harness's loop and wait for its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()


class Tool:
    """Runs the tool with captured output."""

    def __init__(self, addresses: list[Address], capture: pytest.CaptureFixture[str]) -> None:
        self.addresses = addresses
        self._capture = capture

    def run(self, *words: str) -> ToolResult:
        """Run the tool with these arguments against the addresses."""
        options = [f"--address={','.join(map(str, self.addresses))}"]
        self._capture.readouterr()
        code = main([*words, *options])
        out, err = self._capture.readouterr()
        return ToolResult(code, out, err)


@contextmanager
def harness_thread(servers: int = 1, tls: TlsSettings | None = None) -> Iterator[HarnessThread]:
    """Run a harness in a thread until the end of the block."""
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
