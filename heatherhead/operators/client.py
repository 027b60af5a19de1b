"""Client of the operators' interface, with failover between instances.

A change keeps its change id over all attempts, so that it is applied at most once.
"""

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
    "ChangeOutcomeUnknownError",
    "OperatorsClient",
    "RefusedError",
    "ReplyLostError",
    "UnreachableError",
    "create_operators_client",
]

CONNECT_TIMEOUT_S = 3.0
ATTEMPT_TIMEOUT_S = 10.0  # a change without a reply is sent again after this time
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0

_AMBIGUOUS_KINDS = (
    pb.ERROR_KIND_UNSPECIFIED,
    pb.ERROR_KIND_OUTCOME_UNKNOWN,
    pb.ERROR_KIND_INTERNAL,
)

ReplyT = TypeVar("ReplyT")
RequestT = TypeVar("RequestT")


class UnreachableError(HeatherheadError):
    """No instance could be connected to; no request was sent."""


class ReplyLostError(HeatherheadError):
    """A request was sent, and no reply was received."""


class ChangeOutcomeUnknownError(HeatherheadError):
    """A change may or may not have been applied."""


class RefusedError(HeatherheadError):
    """An instance refused a request; `detail` is the error that it returned."""

    def __init__(self, detail: pb.ErrorDetail) -> None:
        super().__init__(detail.reason, remedy=detail.remedy)
        self.detail = detail

    @property
    def is_ambiguous(self) -> bool:
        """Return whether the requested change may have been applied despite the error."""
        return self.detail.kind in _AMBIGUOUS_KINDS


class OperatorsClient:
    """Sends requests to the first instance that answers; create it inside the running loop.

    `timeout_s` limits each read and each change as a whole, including all attempts.
    """

    def __init__(
        self, addresses: Sequence[Address], tls: ssl.SSLContext | None, timeout_s: float
    ) -> None:
        self._addresses = list(addresses)
        self._tls = tls
        self._timeout_s = timeout_s
        self._channel_by_address: dict[Address, Channel] = {}

    async def read(self, rpc: Callable[[Channel, float], Awaitable[ReplyT]]) -> ReplyT:
        """Send a read-only request to each instance in turn until one replies.

        Raises `RefusedError`, or `UnreachableError` if no instance replies.
        """
        deadline_at = self._now() + self._timeout_s
        reasons = []
        for address in self._addresses:
            try:
                return await self._call_instance(address, rpc, deadline_at)
            except (UnreachableError, ReplyLostError) as error:
                reasons.append(error.reason)
        raise _unreachable_error(reasons)

    async def change(
        self, change_id: str, rpc: Callable[[Channel, float], Awaitable[ReplyT]]
    ) -> ReplyT:
        """Send a change until it is known whether it was applied.

        Addresses that can't be connected to are skipped. After a lost reply the request is sent
        again with the same change id. From then on only a success or a conflict is conclusive: any
        other refusal may come from an instance whose state is older than that of the first one.
        Raises `RefusedError`, `UnreachableError` (not applied) or `ChangeOutcomeUnknownError`.
        """
        deadline_at = self._now() + self._timeout_s
        may_have_applied = False
        backoff_s = INITIAL_BACKOFF_S
        while True:
            reasons = []
            for address in self._addresses:
                try:
                    return await self._call_instance(address, rpc, deadline_at)
                except UnreachableError as error:
                    reasons.append(error.reason)
                except ReplyLostError as error:
                    reasons.append(error.reason)
                    may_have_applied = True
                except RefusedError as error:
                    is_conclusive = (
                        error.detail.kind == pb.ERROR_KIND_CONFLICT or not may_have_applied
                    )
                    if is_conclusive and not error.is_ambiguous:
                        raise
                    reasons.append(f"{address}: {error.reason}")
                    may_have_applied = True
            if not may_have_applied:
                raise _unreachable_error(reasons)
            if self._now() + backoff_s >= deadline_at:
                raise _change_unknown_error(change_id, reasons)
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def stream(
        self,
        get_method: Callable[[Channel], UnaryStreamMethod[RequestT, ReplyT]],
        request: RequestT,
    ) -> AsyncIterator[ReplyT]:
        """Iterate over the replies of the first instance that can be connected to.

        Raises `UnreachableError`, `RefusedError`, or `ReplyLostError` when the connection is lost.
        """
        address, channel = await self._connect_first()
        try:
            async with get_method(channel).open() as stream:
                await stream.send_message(request, end=True)
                async for reply in stream:
                    yield reply
        except GRPCError as error:
            raise _error_from_grpc(error, address) from error
        except (OSError, ProtocolError, StreamTerminatedError) as error:
            self._discard_channel(address)
            raise _reply_lost_error(address, "the connection was lost") from error

    def for_address(self, address: Address) -> OperatorsClient:
        """Create a client of a single instance with the same TLS context and timeout."""
        return OperatorsClient([address], self._tls, self._timeout_s)

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channel_by_address.values():
            channel.close()
        self._channel_by_address.clear()

    async def _call_instance(
        self,
        address: Address,
        rpc: Callable[[Channel, float], Awaitable[ReplyT]],
        deadline_at: float,
    ) -> ReplyT:
        channel = await self._connect(address, deadline_at)
        remaining_s = min(ATTEMPT_TIMEOUT_S, deadline_at - self._now())
        if remaining_s <= 0:
            raise UnreachableError(f"{address}: the timeout has expired", remedy="raise --timeout")
        try:
            return await rpc(channel, remaining_s)
        except GRPCError as error:
            raise _error_from_grpc(error, address) from error
        except TimeoutError as error:
            raise _reply_lost_error(address, f"no reply within {remaining_s:.1f} s") from error
        except (OSError, ProtocolError, StreamTerminatedError) as error:
            self._discard_channel(address)
            raise _reply_lost_error(address, "the connection was lost") from error

    async def _connect_first(self) -> tuple[Address, Channel]:
        deadline_at = self._now() + self._timeout_s
        reasons = []
        for address in self._addresses:
            try:
                return address, await self._connect(address, deadline_at)
            except UnreachableError as error:
                reasons.append(error.reason)
        raise _unreachable_error(reasons)

    async def _connect(self, address: Address, deadline_at: float) -> Channel:
        """Return a channel whose connection has been verified by a `Describe` request.

        An instance that refuses the TLS handshake is thus found before a change is sent.
        """
        if address in self._channel_by_address:
            return self._channel_by_address[address]
        channel = Channel(
            address.host, address.port, ssl=self._tls, status_details_codec=DetailsCodec()
        )
        remaining_s = max(0.0, min(CONNECT_TIMEOUT_S, deadline_at - self._now()))
        try:
            async with asyncio.timeout(remaining_s):
                await InstancesStub(channel).Describe(pb.DescribeRequest())
        except (OSError, GRPCError, ProtocolError, StreamTerminatedError) as error:
            channel.close()
            raise UnreachableError(
                f"{address}: {_connect_failure(error)}", remedy="try another --address"
            ) from error
        self._channel_by_address[address] = channel
        return channel

    def _discard_channel(self, address: Address) -> None:
        channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _connect_failure(error: Exception) -> str:
    if isinstance(error, TimeoutError):
        return "timed out while connecting"
    if isinstance(error, StreamTerminatedError):
        return "the connection was closed before the first reply"
    if isinstance(error, GRPCError):
        return f"not an operators' port of heatherhead: {error.message}"
    return str(error)


def _error_from_grpc(error: GRPCError, address: Address) -> HeatherheadError:
    if error.details:
        return RefusedError(error.details[0])
    if error.status is GrpcStatus.UNIMPLEMENTED:
        return RefusedError(
            pb.ErrorDetail(
                kind=pb.ERROR_KIND_NOT_FOUND,
                reason=f"{address} does not support this request",
                remedy="use the version of the tool that matches the instance",
            )
        )
    return _reply_lost_error(address, f"{error.status.name}: {error.message}")


def _reply_lost_error(address: Address, reason: str) -> ReplyLostError:
    return ReplyLostError(f"{address}: {reason}", remedy="try again")


def _unreachable_error(reasons: Sequence[str]) -> UnreachableError:
    return UnreachableError(
        f"no instance answers: {', '.join(reasons) or 'no address was given'}",
        remedy="give the operators' addresses of live instances with --address",
    )


def _change_unknown_error(change_id: str, reasons: Sequence[str]) -> ChangeOutcomeUnknownError:
    return ChangeOutcomeUnknownError(
        f"it is unknown whether change {change_id} was applied: {', '.join(reasons)}",
        remedy=f"try again with --change-id {change_id}; the change is applied at most once",
    )


def create_operators_client(
    addresses: Sequence[Address], tls: ssl.SSLContext | None = None, timeout_s: float = 10.0
) -> OperatorsClient:
    """Create a client of the instances whose ports for operators have these addresses."""
    return OperatorsClient(addresses, tls, timeout_s)
