"""Limits concurrent requests and their size, and converts errors into gRPC errors."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError, StreamTerminatedError

from heatherhead.exceptions import HeatherheadError
from heatherhead.operators.errors import TooBusyError, to_grpc_error
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from grpclib.server import Server, Stream

    Method = Callable[[Stream[Any, Any]], Awaitable[None]]

__all__ = ["MAX_REQUEST_BYTES", "RequestGuard", "guard_requests"]

MAX_REQUEST_BYTES = 2 * 1024 * 1024
MAX_CONCURRENT_REQUESTS = 64


class RequestGuard:
    """Wraps the methods of a server; requests above a limit are refused with `TooBusyError`."""

    def __init__(self) -> None:
        self._running_count = 0

    async def on_request(self, event: RecvRequest) -> None:
        """Wrap the method that a request calls."""
        event.method_func = self._guarded(event.method_func, event.method_name)

    def _guarded(self, method: Method, name: str) -> Method:
        async def guarded_method(stream: Stream[Any, Any]) -> None:
            if self._running_count >= MAX_CONCURRENT_REQUESTS:
                raise to_grpc_error(_too_many_requests())
            _limit_message_size(stream)
            self._running_count += 1
            try:
                await method(stream)
            except HeatherheadError as error:
                raise to_grpc_error(error) from error
            except (TimeoutError, GRPCError, StreamTerminatedError):
                raise
            except Exception as error:
                log_event("operators_request_failed", level="ERROR", method=name, error=repr(error))
                raise to_grpc_error(error) from error
            finally:
                self._running_count -= 1

        return guarded_method


def _too_many_requests() -> TooBusyError:
    return TooBusyError(
        f"{MAX_CONCURRENT_REQUESTS} requests of operators are running on this instance",
        remedy="ask again, or ask another instance",
    )


def _limit_message_size(stream: Stream[Any, Any]) -> None:
    """Refuse a message by the length in its header; grpclib would buffer up to 4 GiB."""
    transport_stream = stream._stream
    receive = transport_stream.recv_data

    async def receive_bounded(size: int) -> bytes:
        if size > MAX_REQUEST_BYTES:
            raise TooBusyError(
                f"a request of {size} bytes is over the bound of {MAX_REQUEST_BYTES}",
                remedy="divide the service into several",
            )
        return await receive(size)

    transport_stream.recv_data = receive_bounded  # type: ignore[method-assign]


def guard_requests(server: Server) -> None:
    """Apply the limits and the error conversion to all requests of a server."""
    listen(server, RecvRequest, RequestGuard().on_request)
