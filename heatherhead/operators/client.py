"""The client of the operators' interface: several addresses, and changes that are made once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from grpclib.client import Channel
from grpclib.const import Status as GrpcStatus
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from heatherhead.exceptions import HeatherheadError
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.errors import DetailsCodec
from heatherhead.operators.heatherhead_grpc import InstancesStub

if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

    from grpclib.client import UnaryStreamMethod

    from heatherhead.membership.interface import Address

__all__ = [
    "ChangeUnknownError",
    "OperatorsClient",
    "RefusedError",
    "ReplyLostError",
    "UnreachableError",
    "create_operators_client",
]

CONNECT_TIMEOUT_S = 3.0
ATTEMPT_TIMEOUT_S = 10.0  # a change without a reply for so long is asked for again
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0

_AMBIGUOUS_KINDS = (
    pb.ERROR_KIND_UNSPECIFIED,
    pb.ERROR_KIND_OUTCOME_UNKNOWN,
    pb.ERROR_KIND_INTERNAL,
)

ReplyT = TypeVar("ReplyT")
RequestT = TypeVar("RequestT")


class UnreachableError(HeatherheadError):
    """No instance could be connected to; nothing was asked for."""


class ReplyLostError(HeatherheadError):
    """An instance was asked, and its reply did not come."""


class ChangeUnknownError(HeatherheadError):
    """A change may or may not have been made."""


class RefusedError(HeatherheadError):
    """An instance refused a request; `detail` is its typed reason."""

    def __init__(self, detail: pb.ErrorDetail) -> None:
        super().__init__(detail.reason, remedy=detail.remedy)
        self.detail = detail

    @property
    def is_ambiguous(self) -> bool:
        """Whether the change that was asked for may have been made all the same."""
        return self.detail.kind in _AMBIGUOUS_KINDS


class OperatorsClient:
    """Asks instances in turn; must be created inside the running loop.

    `timeout_s` bounds each read and each change as a whole.
    """

    def __init__(
        self, addresses: Sequence[Address], tls: ssl.SSLContext | None, timeout_s: float
    ) -> None:
        self._addresses = list(addresses)
        self._tls = tls
        self._timeout_s = timeout_s
        self._channel_by_address: dict[Address, Channel] = {}

    async def read(self, call: Callable[[Channel, float], Awaitable[ReplyT]]) -> ReplyT:
        """Ask for something that changes nothing, of the first instance that replies.

        Raises `RefusedError`, or `UnreachableError` if none replies.
        """
        ends_at = self._now() + self._timeout_s
        reasons = []
        for address in self._addresses:
            try:
                return await self._ask(address, call, ends_at)
            except (UnreachableError, ReplyLostError) as error:
                reasons.append(error.reason)
        raise _unreachable(reasons)

    async def change(
        self, change_id: str, call: Callable[[Channel, float], Awaitable[ReplyT]]
    ) -> ReplyT:
        """Ask for a change until it is known whether it was made.

        An address that can't be connected to gives way to the next one. After a lost reply the
        same change id is asked for again; then only a success or a conflict settles the matter,
        for any other refusal may come from an instance that knows less than the first one.
        Raises `RefusedError`, `UnreachableError` (surely not made) or `ChangeUnknownError`.
        """
        ends_at = self._now() + self._timeout_s
        in_doubt = False
        pause_s = FIRST_PAUSE_S
        while True:
            reasons = []
            for address in self._addresses:
                try:
                    return await self._ask(address, call, ends_at)
                except UnreachableError as error:
                    reasons.append(error.reason)
                except ReplyLostError as error:
                    reasons.append(error.reason)
                    in_doubt = True
                except RefusedError as error:
                    settles = error.detail.kind == pb.ERROR_KIND_CONFLICT or not in_doubt
                    if settles and not error.is_ambiguous:
                        raise
                    reasons.append(f"{address}: {error.reason}")
                    in_doubt = True
            if not in_doubt:
                raise _unreachable(reasons)
            if self._now() + pause_s >= ends_at:
                raise _unknown(change_id, reasons)
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    async def stream(
        self,
        method_of: Callable[[Channel], UnaryStreamMethod[RequestT, ReplyT]],
        request: RequestT,
    ) -> AsyncIterator[ReplyT]:
        """Iterate over the replies of the first instance that can be connected to.

        Raises `UnreachableError`, `RefusedError`, or `ReplyLostError` when the stream is cut.
        """
        address, channel = await self._connect_first()
        try:
            async with method_of(channel).open() as stream:
                await stream.send_message(request, end=True)
                async for reply in stream:
                    yield reply
        except GRPCError as error:
            raise _refusal(error, address) from error
        except (OSError, ProtocolError, StreamTerminatedError) as error:
            raise _reply_lost(address, "the connection broke") from error

    def at(self, address: Address) -> OperatorsClient:
        """Create a client of one instance, with the same TLS and timeout."""
        return OperatorsClient([address], self._tls, self._timeout_s)

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channel_by_address.values():
            channel.close()
        self._channel_by_address.clear()

    async def _ask(
        self,
        address: Address,
        call: Callable[[Channel, float], Awaitable[ReplyT]],
        ends_at: float,
    ) -> ReplyT:
        channel = await self._connect(address, ends_at)
        left_s = min(ATTEMPT_TIMEOUT_S, ends_at - self._now())
        if left_s <= 0:
            raise UnreachableError(f"{address}: no time is left", remedy="raise --timeout")
        try:
            return await call(channel, left_s)
        except GRPCError as error:
            raise _refusal(error, address) from error
        except TimeoutError as error:
            raise _reply_lost(address, f"no reply in {left_s:.1f} s") from error
        except (OSError, ProtocolError, StreamTerminatedError) as error:
            self._forget(address)
            raise _reply_lost(address, "the connection broke") from error

    async def _connect_first(self) -> tuple[Address, Channel]:
        ends_at = self._now() + self._timeout_s
        reasons = []
        for address in self._addresses:
            try:
                return address, await self._connect(address, ends_at)
            except UnreachableError as error:
                reasons.append(error.reason)
        raise _unreachable(reasons)

    async def _connect(self, address: Address, ends_at: float) -> Channel:
        """Connect and let the instance describe itself, so that refused TLS shows here."""
        if address in self._channel_by_address:
            return self._channel_by_address[address]
        channel = Channel(
            address.host, address.port, ssl=self._tls, status_details_codec=DetailsCodec()
        )
        left_s = max(0.0, min(CONNECT_TIMEOUT_S, ends_at - self._now()))
        try:
            async with asyncio.timeout(left_s):
                await InstancesStub(channel).Describe(pb.DescribeRequest())
        except (OSError, GRPCError, ProtocolError, StreamTerminatedError) as error:
            channel.close()
            raise UnreachableError(
                f"{address}: {_connect_failure(error)}", remedy="name another --address"
            ) from error
        self._channel_by_address[address] = channel
        return channel

    def _forget(self, address: Address) -> None:
        channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _connect_failure(error: Exception) -> str:
    if isinstance(error, TimeoutError):
        return "no connection in time"
    if isinstance(error, StreamTerminatedError):
        return "the connection was closed at once"
    if isinstance(error, GRPCError):
        return f"no operators' port of heatherhead: {error.message}"
    return str(error)


def _refusal(error: GRPCError, address: Address) -> HeatherheadError:
    if error.details:
        return RefusedError(error.details[0])
    if error.status is GrpcStatus.UNIMPLEMENTED:
        return RefusedError(
            pb.ErrorDetail(
                kind=pb.ERROR_KIND_NOT_FOUND,
                reason=f"{address} does not know this request",
                remedy="use the tool of the instance's version",
            )
        )
    return _reply_lost(address, f"{error.status.name}: {error.message}")


def _reply_lost(address: Address, reason: str) -> ReplyLostError:
    return ReplyLostError(f"{address}: {reason}", remedy="ask again")


def _unreachable(reasons: Sequence[str]) -> UnreachableError:
    return UnreachableError(
        f"no instance answers: {', '.join(reasons) or 'no address is named'}",
        remedy="name the operators' addresses of live instances with --address",
    )


def _unknown(change_id: str, reasons: Sequence[str]) -> ChangeUnknownError:
    return ChangeUnknownError(
        f"it is unknown whether change {change_id} was made: {', '.join(reasons)}",
        remedy=f"ask again with --change-id {change_id}; it is never made twice",
    )


def create_operators_client(
    addresses: Sequence[Address], tls: ssl.SSLContext | None = None, timeout_s: float = 10.0
) -> OperatorsClient:
    """Create a client of the instances at these operators' addresses."""
    return OperatorsClient(addresses, tls, timeout_s)
