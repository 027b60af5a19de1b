"""A stand-in for a server: slots, a short queue, load reports, health checks and draining."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from review.standins.wire import Message, answer_bytes, read_message

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.standins.record import Record
    from review.standins.store import Store

QUEUE = 16
DRAIN_S = 2.5


class Server:
    """One server; it registers itself in the store and runs requests in its slots."""

    def __init__(
        self,
        record: Record,
        store: Store,
        server_id: str,
        service: str,
        zone: str,
        *,
        slots: int = 4,
        work_s: float = 0.06,
    ) -> None:
        self.record = record
        self.store = store
        self.id = server_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0
        self.refuses: Callable[[], bool] = lambda: False  # a request, as not run
        self.crashes_on: Callable[[Message], bool] = lambda _: False
        # Whether the path to the process at the other end of a connection is cut, by its port.
        self.is_cut: Callable[[int], bool] = lambda _: False
        self.on_crash: Callable[[Server], None] = lambda _: None
        self.host = ""
        self.port = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def key(self) -> str:
        """Return the key of the entry in the store."""
        return f"servers/{self.id}"

    def entry(self) -> dict[str, Any]:
        """Return what the server says of itself in the store."""
        return {
            "Service": self.service,
            "Address": f"{self.host}:{self.port}",
            "Zone": self.zone,
            "ConfigVersion": "v1",
            "Slots": self.slots,
            "State": self.state,
            "WarmupLeftS": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }

    def register(self) -> int:
        """Write the entry; return the revision."""
        self.sequence += 1
        return self.store.put(self.key, self.entry())

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on a loopback address."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=256)
        self.host, self.port = host, self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all connections, as an end of the process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def _headers(self, request_id: str | None) -> dict[str, str]:
        headers = {"X-Heatherhead-Server-Load": f"{self.running},{self.waiting},{self.slots},100"}
        if request_id is not None:
            headers["X-Heatherhead-Request-Id"] = request_id
        if self.state != "ready":
            headers["Connection"] = "close"
        return headers

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        port = writer.get_extra_info("peername")[1]
        try:
            while True:
                request = await read_message(reader)
                await self._wait_for_path(reader, port)
                status, headers, body = await self._answer_or_drop(request, reader)
                await self._wait_for_path(reader, port)
                writer.write(answer_bytes(status, headers, body))
                await writer.drain()
                if headers.get("Connection") == "close":
                    return
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _wait_for_path(self, reader: asyncio.StreamReader, port: int) -> None:
        """Hold up what was sent while the path is cut; it is lost if the sender closes."""
        while self.is_cut(port):
            await asyncio.sleep(0.01)
            if reader.at_eof() or reader.exception() is not None:
                raise ConnectionResetError

    async def _answer_or_drop(
        self, request: Message, reader: asyncio.StreamReader
    ) -> tuple[int, dict[str, str], bytes]:
        """Answer, or drop the request when its connection closes, as most servers do."""
        answer = asyncio.ensure_future(self._answer(request))
        closed = asyncio.ensure_future(_closed(reader))
        try:
            await asyncio.wait([answer, closed], return_when=asyncio.FIRST_COMPLETED)
            if not answer.done():
                raise ConnectionResetError
            return answer.result()
        finally:
            closed.cancel()
            answer.cancel()
            with suppress(asyncio.CancelledError):
                await closed

    async def _answer(self, request: Message) -> tuple[int, dict[str, str], bytes]:
        if request.target == "/healthz":
            headers = {**self._headers(None), "X-Heatherhead-Instance-Id": self.id}
            return 200 if self.state == "ready" else 503, headers, b""
        request_id = request.headers.get("x-heatherhead-request-id")
        headers = self._headers(request_id)
        if request.headers.get("x-heatherhead-expect-instance", self.id) != self.id:
            headers["X-Heatherhead-Instance-Id"] = self.id
            return 421, {**headers, "X-Heatherhead-Not-Executed": "1"}, b""
        self.record.write("arrives", id=request_id, server=self.id, target=request.target)
        if self.refuses() or self.waiting >= QUEUE:
            self.record.write("refused", id=request_id, server=self.id)
            return 503, {**headers, "X-Heatherhead-Not-Executed": "1"}, b""
        return await self._run(request, request_id)

    async def _run(
        self, request: Message, request_id: str | None
    ) -> tuple[int, dict[str, str], bytes]:
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.record.write("runs", id=request_id, server=self.id, target=request.target)
            if self.crashes_on(request):
                self.record.write("crashes", id=request_id, server=self.id)
                self.on_crash(self)
                raise ConnectionResetError
            await asyncio.sleep(self.work_s)
            self.record.write("ran", id=request_id, server=self.id)
        finally:
            self.running -= 1
            self._free.release()
        headers = self._headers(request_id)
        headers["X-Heatherhead-Server-Stamp"] = f"{self.id}.{request_id}"
        return 200, headers, f"{self.service} {request.target}\n".encode()


async def _closed(reader: asyncio.StreamReader) -> None:
    """Wait until the peer has closed; it sends one request at a time."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)
