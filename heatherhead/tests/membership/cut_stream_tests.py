"""Tests of peer streams that end inside a message, and of messages that are cut or joined."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgpack
import pytest

from heatherhead.entry.settings import HostPort
from heatherhead.exceptions import PeerProtocolError
from heatherhead.fleet.relay import RelayError, create_relay_server, follow_peer
from heatherhead.fleet.replica import create_store_replica
from heatherhead.membership.connection import frame, read_message
from heatherhead.membership.member_messages import IndirectProbeAnswer
from heatherhead.membership.messages import decode, encode

if TYPE_CHECKING:
    from heatherhead.fleet.replica import StoreReplica

MESSAGE = IndirectProbeAnswer("i1", 7, True)
BATCH = msgpack.packb([False, 5, [["servers/a", b"1", 4, False], ["servers/b", b"2", 5, False]], 0])


@pytest.mark.parametrize("split", [False, True], ids=["one write", "byte by byte"])
def test_stream_that_ends_inside_a_message_gives_a_part_of_it(split: bool) -> None:
    """Shows on no version; cut at each byte, behind a whole message."""
    data = frame(encode(MESSAGE))

    async def main() -> None:
        for cut in range(len(data)):
            reader = asyncio.StreamReader()
            received = data + data[:cut]
            for part in [bytes([each]) for each in received] if split else [received]:
                reader.feed_data(part)
            reader.feed_eof()
            assert await read_message(reader) == (MESSAGE, len(data))
            with pytest.raises(EOFError):
                await read_message(reader)

    asyncio.run(main())


def test_cut_or_joined_message_is_read_as_one() -> None:
    """Shows on no version."""
    data = encode(MESSAGE)
    for cut in range(len(data)):
        with pytest.raises(PeerProtocolError):
            decode(data[:cut])
    with pytest.raises(PeerProtocolError):
        decode(data + data)


async def follow(*streams: bytes) -> StoreReplica:
    """Follow a peer whose streams end one after the other; return the replica."""
    replica = create_store_replica()
    left = list(streams)

    async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(left.pop(0))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = HostPort(*server.sockets[0].getsockname())
    for _ in streams:
        with pytest.raises(RelayError):
            await follow_peer(address, replica, lambda _: None)
    server.close()
    return replica


def test_part_of_a_batch_is_joined_with_that_of_the_next_stream() -> None:
    """Shows on no version; a part of a batch changes nothing, and a repeated one changes it once."""

    async def main() -> None:
        for cut in range(len(BATCH)):
            replica = await follow(BATCH[:cut])
            assert (replica.revision, replica.changes_since(0)[1]) == (0, [])
        whole = await follow(BATCH)
        for cut in (1, 20, len(BATCH)):
            replica = await follow(BATCH[:cut], BATCH + BATCH)
            assert replica.revision == whole.revision == 5
            assert replica.changes_since(0) == whole.changes_since(0)

    asyncio.run(main())


def test_revision_that_comes_in_two_parts_ends_the_stream_of_a_follower() -> None:
    """It was read as none, and the follower connected again."""

    async def main() -> None:
        replica = create_store_replica()
        replica.revision = 70_000
        server = await asyncio.start_server(create_relay_server(replica).serve, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        data = msgpack.packb(70_000)
        writer.write(data[:2])
        await asyncio.sleep(0.02)
        writer.write(data[2:])
        first = msgpack.unpackb(await asyncio.wait_for(reader.read(100), 1.0))
        assert first == [False, 70_000, [], False]
        writer.close()
        server.close()

    asyncio.run(main())
