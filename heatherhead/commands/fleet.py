"""Asks every live instance the same."""

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

__all__ = ["ask_instances", "ask_one_or_all"]

MAX_ASKED_AT_ONCE = 16
STATES_ASKED = ("live", "suspected", "leaving")

ReplyT = TypeVar("ReplyT")


async def ask_one_or_all(
    session: Session, call: Callable[[Session], Awaitable[ReplyT]], *, is_all: bool
) -> list[ReplyT]:
    """Gather the reply of the answering instance, or those of all as `ask_instances` does."""
    if is_all:
        return await ask_instances(session, call)
    return [await call(session)]


async def ask_instances(
    session: Session, call: Callable[[Session], Awaitable[ReplyT]]
) -> list[ReplyT]:
    """Gather the replies of all instances, in order of their ids.

    An instance that does not reply is noted. Raises `CommandError` if none replies.
    """
    listed = await session.client.read(
        lambda channel, left_s: InstancesStub(channel).List(
            pb.ListInstancesRequest(), timeout=left_s
        )
    )
    asked = [each for each in listed.instances if each.state in STATES_ASKED]
    free = asyncio.Semaphore(MAX_ASKED_AT_ONCE)

    async def ask(instance: pb.InstanceStatus) -> ReplyT | None:
        async with free:
            return await _ask_one(session, instance, call)

    replies = await asyncio.gather(*(ask(each) for each in asked))
    answered = [each for each in replies if each is not None]
    if not answered:
        raise CommandError(
            ExitCode.UNREACHABLE,
            f"none of {len(asked)} instances answers on its operators' address",
            remedy="run the tool where these addresses can be reached, as on an instance",
        )
    return answered


async def _ask_one(
    session: Session,
    instance: pb.InstanceStatus,
    call: Callable[[Session], Awaitable[ReplyT]],
) -> ReplyT | None:
    host, _, port = instance.operators_address.rpartition(":")
    with session.for_address(Address(host, int(port))) as there:
        try:
            return await call(there)
        except HeatherheadError as error:
            session.output.note(f"{instance.id} is left out: {error.reason}")
            return None
