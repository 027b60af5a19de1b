"""Queries all live instances of the fleet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from heatherhead.commands.exit_codes import CommandError, ExitCode
from heatherhead.exceptions import HeatherheadError
from heatherhead.membership.interface import Address
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import InstancesStub

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from heatherhead.commands.session import Session

__all__ = ["query_instances", "query_one_or_all"]

MAX_CONCURRENT_QUERIES = 16
QUERIED_STATES = ("live", "suspected", "leaving")

ReplyT = TypeVar("ReplyT")


async def query_one_or_all(
    session: Session, call: Callable[[Session], Awaitable[ReplyT]], *, all_instances: bool
) -> list[ReplyT]:
    """Return the reply of the answering instance, or those of all as `query_instances` does."""
    if all_instances:
        return await query_instances(session, call)
    return [await call(session)]


async def query_instances(
    session: Session, call: Callable[[Session], Awaitable[ReplyT]]
) -> list[ReplyT]:
    """Query all instances concurrently and return their replies, sorted by instance id.

    Instances that do not reply are left out, with a note. Raises `CommandError` if none replies.
    """
    listed = await session.client.read(
        lambda channel, timeout_s: InstancesStub(channel).List(
            pb.ListInstancesRequest(), timeout=timeout_s
        )
    )
    queried = [each for each in listed.instances if each.state in QUERIED_STATES]
    query_limit = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def query(instance: pb.InstanceStatus) -> ReplyT | None:
        async with query_limit:
            return await _query_instance(session, instance, call)

    replies = await asyncio.gather(*(query(each) for each in queried))
    received = [each for each in replies if each is not None]
    if not received:
        raise CommandError(
            ExitCode.UNREACHABLE,
            f"none of {len(queried)} instances replied on its operators' address",
            remedy="run the tool where these addresses can be reached, for example on an instance",
        )
    return received


async def _query_instance(
    session: Session,
    instance: pb.InstanceStatus,
    call: Callable[[Session], Awaitable[ReplyT]],
) -> ReplyT | None:
    host, _, port = instance.operators_address.rpartition(":")
    with session.for_instance(Address(host, int(port))) as instance_session:
        try:
            return await call(instance_session)
        except HeatherheadError as error:
            session.output.print_note(f"{instance.id} is left out: {error.reason}")
            return None
