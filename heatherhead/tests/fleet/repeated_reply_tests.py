"""Tests of messages between instances that come twice, late, cut or joined."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgpack
import pytest

from heatherhead.dispatch.crashes import CrashedStart, CrashReport
from heatherhead.dispatch.dispatcher import create_dispatcher
from heatherhead.dispatch.rate_limits import RateLimitEvidence
from heatherhead.entry.settings import HostPort
from heatherhead.fleet.members import Member, create_member_table
from heatherhead.fleet.peer_messages import (
    CallCounts,
    CrashNotice,
    HomeStatus,
    LeaveNotice,
    LoadReport,
    PeerMessage,
    PermitReply,
    PermitRequest,
    RateLimitRow,
    ReachReport,
    decode_message,
    encode_message,
)
from heatherhead.fleet.permits import REPLY_TIMEOUT_S, PermitExchange
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_entry

LIMIT = RateLimitRow("u", 0, 20.0, 0.0, False)
MESSAGES: list[PeerMessage] = [
    HomeStatus("i0", "1", True, 7, 0.5, True, 3),
    LoadReport("i0", (("u", 1, 2, 8, 1.5, 0.01),)),
    CallCounts("i0", True, {"u": 3}),
    CrashNotice("i0", CrashReport(77, 2, (CrashedStart("u 1", 0.2),))),
    LeaveNotice("i0", "1"),
    PermitRequest("i0", 2, LIMIT),
    PermitReply("i0", 2, 0.0, LIMIT),
    ReachReport("i0", False, ("stock",)),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda each: type(each).__name__)
def test_cut_datagram_or_two_in_one_is_read_as_a_message(message: PeerMessage) -> None:
    """Shows on no version: a datagram is one array, and nothing behind it.

    A part of one with another behind it, which no datagram holds, may be read as one.
    """
    data = encode_message(message)
    assert decode_message(data) == message
    for other in MESSAGES:
        assert decode_message(data + encode_message(other)) is None
    for cut in range(len(data)):
        assert decode_message(data[:cut]) is None


class _Requester:
    """An instance that asks another one for the permits of an upstream, and what it has sent."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 100.0)
        self.dispatcher.on_entry(None, create_entry("u"))
        state = self.dispatcher.state("u")
        assert state is not None
        self.state = state
        self.dispatcher.record_rate_limit(state, RateLimitEvidence(20.0, loop.time()), "test")
        members = [
            Member(f"i{n}", "1", "a", "r", HostPort(f"10.0.0.{n}", 1), 2, 1.0, 1000.0)
            for n in range(2)
        ]
        self.sent: list[PermitRequest] = []
        self.exchange = PermitExchange(
            self.dispatcher,
            _Homes(members[:1]),  # type: ignore[arg-type]
            create_member_table(members[1]),
            lambda _, message: self.sent.append(message),  # type: ignore[arg-type]
            loop.time,
        )

    def ask(self) -> PermitReply:
        """Ask for permits; return a reply with two."""
        self.exchange.request(self.state)
        asked = self.sent[-1]
        reply = PermitReply("i0", 2, 0.0, asked.limit)
        number = getattr(asked, "number", None)
        return reply if number is None else replace(reply, number=number)

    def take_all(self) -> int:
        """Take all permits; return their number."""
        now = asyncio.get_running_loop().time()
        count = self.state.rate_limit.permits(now)
        self.state.rate_limit.drop_permits()
        return count


class _Homes:
    def __init__(self, homes: list[Member]) -> None:
        self.current = homes

    def probable_homes_of(self, _region: str) -> list[Member]:
        return self.current

    def homes_of_all_regions(self) -> list[Member]:
        return self.current


def test_reply_that_comes_twice_is_taken_for_two() -> None:
    """The instance then sent more calls than the upstream's limit allows."""

    async def main() -> None:
        requester = _Requester()
        reply = requester.ask()
        for _ in range(3):
            requester.exchange.apply_reply(reply)
        assert requester.take_all() == 2

    run_with_paused_clock(main())


def test_late_reply_to_an_earlier_question_is_taken_for_the_next_one() -> None:
    """Each counts, as each was issued; the first one does not count for both."""

    async def main() -> None:
        requester = _Requester()
        first = requester.ask()
        await asyncio.sleep(REPLY_TIMEOUT_S)
        second = requester.ask()
        requester.exchange.apply_reply(first)
        requester.exchange.apply_reply(first)
        assert requester.take_all() == 2
        requester.exchange.apply_reply(second)
        assert requester.take_all() == 2

    run_with_paused_clock(main())


def test_reply_from_before_a_pause_is_used_after_it() -> None:
    """It waited in the socket while this instance stood still, and its permits ran out."""

    async def main() -> None:
        requester = _Requester()
        reply = requester.ask()
        requester.exchange.drop()
        requester.exchange.apply_reply(reply)
        assert requester.take_all() == 0
        requester.exchange.apply_reply(requester.ask())
        assert requester.take_all() == 2

    run_with_paused_clock(main())


def test_reply_without_a_question_is_used() -> None:
    async def main() -> None:
        requester = _Requester()
        reply = requester.ask()
        requester.exchange.apply_reply(replace(reply, number=reply.number + 1))
        assert requester.take_all() == 0

    run_with_paused_clock(main())


def test_messages_of_versions_without_numbers_are_refused() -> None:
    """Shows on no version: an instance of an earlier version still gets and gives permits."""
    version, kind, sender, *fields = msgpack.unpackb(encode_message(PermitReply("i0", 2, 0, LIMIT)))
    reply = decode_message(msgpack.packb([version, kind, sender, *fields[:3]]))
    assert reply == PermitReply("i0", 2, 0.0, LIMIT)

    async def main() -> None:
        requester = _Requester()
        requester.ask()
        assert isinstance(reply, PermitReply)
        requester.exchange.apply_reply(reply)
        assert requester.take_all() == 2

    run_with_paused_clock(main())


def test_refusal_of_permits_for_an_earlier_start_holds_for_the_new_one() -> None:
    """The new start got no calls until the wait had passed that the earlier one's limit asked for."""

    async def main() -> None:
        requester = _Requester()
        refusal = replace(requester.ask(), permits=0, wait_s=5.0)
        requester.exchange.apply_reply(refusal)
        assert not requester.exchange.may_request(requester.state)
        earlier = requester.state.entry
        requester.dispatcher.on_entry(earlier, replace(earlier, started_ms=1, revision=2))
        state = requester.dispatcher.state("u")
        assert state is not None
        now = asyncio.get_running_loop().time()
        requester.dispatcher.record_rate_limit(state, RateLimitEvidence(20.0, now), "test")
        assert requester.exchange.may_request(state)
        requester.state = state
        granted = requester.ask()
        requester.exchange.apply_reply(replace(refusal, number=granted.number))
        assert requester.take_all() == 0
        requester.exchange.apply_reply(granted)
        assert requester.take_all() == 2

    run_with_paused_clock(main())


def test_reply_to_an_earlier_start_of_the_instance_is_used() -> None:
    async def main() -> None:
        before, after = _Requester(), _Requester()
        late = before.ask()
        assert after.ask().number != late.number
        after.exchange.apply_reply(late)
        assert after.take_all() == 0

    run_with_paused_clock(main())
