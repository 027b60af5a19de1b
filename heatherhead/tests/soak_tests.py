"""Short seeded runs of the soak, and tests of its links and invariants; long runs are manual."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

import pytest

from heatherhead.tests.entry.instances import loopback_prefix
from soak.__main__ import Plan, run_seed
from soak.callers import Attempt, Callers
from soak.controls import Spell
from soak.invariants import find_violations
from soak.links import Cut, Fault, Link
from soak.server import ANSWER_ROW, answer_body, answer_stamp, body_digest
from soak.stutter import DUE_FORMS, FORMS, AnswerBytes, StutteringWriter
from soak.world import Daemon, World

if TYPE_CHECKING:
    from collections.abc import Collection
    from pathlib import Path

SHORT = Plan(daemons=3, upstreams=4, callers=6, faults_s=3.0, quiet_s=1.0)


@pytest.mark.parametrize(
    ("seed", "quiet_s", "faults"),
    [
        (6, 1.0, ("refuse", "start_again")),
        (7, 1.0, ("stutter",)),
        (10, 8.0, ("stutter", "refuse", "start_again")),
        (17, 1.0, ("change_keys",)),
        (25, 4.0, ("change_keys",)),
    ],
)
def test_invariants_hold_in_a_short_run(
    seed: int, quiet_s: float, faults: tuple[str, ...], tmp_path: Path
) -> None:
    """Seed 10 has planned events besides, and lasts long enough for limits to be checked.

    17 and 25 have customers; 25 has planned events only, so that changes of keys must be followed.
    """
    plan = replace(SHORT, quiet_s=quiet_s)
    report = asyncio.run(run_seed(seed, plan, tmp_path, loopback_prefix(200 + seed)))
    assert report.violations == []
    assert report.served > 0
    assert all(report.faults[each] > 0 for each in faults)
    assert "refuse" not in faults or report.events["refused"] > 0
    assert "change_keys" not in faults or report.statuses["401"] > 0


@pytest.mark.parametrize(
    ("fault", "arrived", "answered"),
    [
        (Fault.NONE, b"ask", b"answer"),
        (Fault.DELAY, b"ask", b"answer"),
        (Fault.DROP_FROM_CLIENT, b"", b""),
        (Fault.DROP_FROM_TARGET, b"ask", b""),
        (Fault.DROP_ALL, b"", b""),
    ],
)
def test_link_drops_bytes_according_to_its_fault(
    fault: Fault, arrived: bytes, answered: bytes
) -> None:
    async def main() -> None:
        seen = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            seen.append(await reader.read(100))
            writer.write(b"answer")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        link = Link("127.0.0.1", "127.0.0.1", server.sockets[0].getsockname()[1], fault)
        await link.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
        writer.write(b"ask")
        writer.write_eof()
        received = b""
        if answered:
            received = await reader.read(100)
        else:
            while fault is Fault.DROP_FROM_TARGET and not seen:
                await asyncio.sleep(0)
        assert received == answered
        assert b"".join(seen) == arrived
        link.stop()
        server.close()

    asyncio.run(main())


def _world(tmp_path: Path, execution_lines: str) -> World:
    """Return a world whose upstreams logged `execution_lines`; none of its processes is started."""
    world = World(tmp_path, None, "127.0.0", None, tmp_path / "runs.log")  # type: ignore[arg-type]
    world.allowed_services_by_prefix["/order/"] = {"orders"}
    world.run_log.write_text(execution_lines)
    return world


@pytest.mark.parametrize(
    ("status", "executions", "expected_text"),
    [
        (200, 2, "executed 2 times"),
        (503, 1, "answered as not executed"),
        (404, 0, "valid request refused"),
        (200, 1, "without the complete answer"),
    ],
)
def test_violations_are_found(
    tmp_path: Path, status: int, executions: int, expected_text: str
) -> None:
    line = '["a", "i-1", "orders", "d", 1.0]\n'
    world = _world(tmp_path, line * executions)
    callers = Callers(world, None)  # type: ignore[arg-type]
    callers.attempt_by_id["a"] = Attempt("a", "/order/", "d", "127.0.0.10", 1.0, status)
    violations = list(find_violations(world, callers, 1e12, planned_only=False))
    assert any(expected_text in line for line in violations)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize(
    ("last_status", "ran_at", "expected_texts"),
    [
        (200, [3.0], []),
        (0, [3.0], []),
        (0, [], []),
        (200, [1.1], ["executed before it was sent again"]),
        (502, [1.9], ["executed before it was sent again"]),
        (503, [], []),
        (503, [1.1], ["answered as not executed, but was executed: "]),
        (503, [3.0], ["answered as not executed, but was executed: "]),
        (200, [1.1, 3.0], ["executed 2 times", "executed before it was sent again"]),
        (200, [3.0, 3.1], ["executed 2 times"]),
    ],
)
def test_order_that_was_refused_and_sent_again_ran_at_most_since(
    tmp_path: Path, status: int, last_status: int, ran_at: list[float], expected_texts: list[str]
) -> None:
    """Its first send is refused at 1.5 s, its last one goes out at 2 s."""
    world = _world(tmp_path, "".join(f'["a", "i-1", "orders", "d", {at}]\n' for at in ran_at))
    callers = Callers(world, None)  # type: ignore[arg-type]
    first = Attempt("a", "/order/", "d", "127.0.0.10", 1.0, status, ended_at=1.5)
    callers.attempt_by_id["a"] = Attempt(
        "a", "/order/", "d", "127.0.0.10", 2.0, last_status, ended_at=4.0, earlier=(first,)
    )
    lines = list(find_violations(world, callers, 1e12, planned_only=False))
    found = [each for each in lines if "executed" in each]
    assert len(found) == len(expected_texts)
    assert all(text in line for text, line in zip(expected_texts, found, strict=True))


def test_answer_to_an_earlier_send_of_an_order_is_checked(tmp_path: Path) -> None:
    world = _world(tmp_path, "")
    callers = Callers(world, None)  # type: ignore[arg-type]
    first = Attempt("a", "/order/", "d", "127.0.0.10", 1.0, 503, ["i-1.a.503"], ended_at=1.5)
    callers.attempt_by_id["a"] = Attempt(
        "a", "/order/", "d", "127.0.0.10", 2.0, 503, ended_at=4.0, earlier=(first,)
    )
    (line,) = find_violations(world, callers, 1e12, planned_only=False)
    assert line.startswith("mixed: a stamp that no upstream gave")


def test_late_naming_of_a_lost_instance_is_found(tmp_path: Path) -> None:
    world = _world(tmp_path, "")
    world.daemons = [Daemon("127.0.0.10", None, None, lost_at=10.0)]  # type: ignore[arg-type]
    callers = Callers(world, None)  # type: ignore[arg-type]
    for answered_at in (12.0, 14.0):
        callers.address_answers.append((answered_at, "127.0.0.11", ["127.0.0.10"]))
    lines = list(find_violations(world, callers, 1e12, planned_only=False))
    assert [line.partition(" after")[0] for line in lines] == ["127.0.0.11 named 127.0.0.10 4.00 s"]


@pytest.mark.parametrize(
    ("how", "kept"), [(Cut.HANG, b""), (Cut.RESET, b""), (Cut.RESET_NEW, b"x")]
)
def test_link_cuts_one_client_and_no_other(how: Cut, kept: bytes) -> None:
    async def main() -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        async def ask(
            connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None,
        ) -> bytes:
            with suppress(OSError, TimeoutError):
                reader, writer = connection or await asyncio.open_connection("127.0.0.1", link.port)
                writer.write(b"x")
                return await asyncio.wait_for(reader.read(1), 0.3)
            return b""

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        names: dict[int, str] = {}

        async def name_in_turn(ports: Collection[int]) -> dict[int, str]:
            return {
                port: names.setdefault(port, ("cut", "other")[len(names) % 2]) for port in ports
            }

        link = Link(
            "127.0.0.1",
            "127.0.0.1",
            server.sockets[0].getsockname()[1],
            client_names=name_in_turn,
        )
        await link.start()
        opened = []
        for _ in range(2):
            opened.append(await asyncio.open_connection("127.0.0.1", link.port))
            assert await ask(opened[-1]) == b"x"
        await link.cut(["cut"], how)
        assert await ask(opened[0]) == kept
        assert await ask(opened[1]) == b"x"
        assert await ask() == b""
        assert await ask() == b"x"
        link.stop()
        server.close()

    asyncio.run(main())


def test_exceeded_limit_is_found(tmp_path: Path) -> None:
    rows = ['["limit", "i-1", "orders", "", 1.0]\n']
    rows += [f'["a", "i-1", "orders", "d", {5 + number / 10}]\n' for number in range(20)]
    world = _world(tmp_path, "".join(rows))
    callers = Callers(world, None)  # type: ignore[arg-type]
    lines = list(find_violations(world, callers, 1e12, planned_only=True))
    assert any("limit exceeded: 20 requests" in line for line in lines)


def test_calls_after_a_limit_that_was_named_late_are_no_violation(tmp_path: Path) -> None:
    """The limit ends by the age of the process, not by when a call first got to know it."""
    rows = ['["start", "i-1", "orders", "", 0.0]\n', '["limit", "i-1", "orders", "", 2.5]\n']
    rows += [f'["a", "i-1", "orders", "d", {10.1 + number / 100}]\n' for number in range(40)]
    world = _world(tmp_path, "".join(rows))
    callers = Callers(world, None)  # type: ignore[arg-type]
    lines = list(find_violations(world, callers, 1e12, planned_only=True))
    assert not any("limit exceeded" in line for line in lines)


def test_unmatched_execution_and_execution_by_a_wrong_service_are_found(tmp_path: Path) -> None:
    world = _world(tmp_path, '["x", "i-1", "orders", "d", 1.0]\n["a", "i-1", "stock", "d", 1.0]\n')
    callers = Callers(world, None)  # type: ignore[arg-type]
    callers.attempt_by_id["a"] = Attempt("a", "/order/", "d", "127.0.0.10", 1.0)
    violations = list(find_violations(world, callers, 1e12, planned_only=False))
    assert any("without a matching request" in line for line in violations)
    assert any("no configuration routes to" in line for line in violations)


def _find_mixed(
    tmp_path: Path,
    *,
    status: int = 200,
    given_status: int = 200,
    stamps: list[str] | None = None,
    body: bytes | None = None,
    echoed_ids: list[str] | None = None,
) -> list[str]:
    """Return violations of a call "a" that i-1 answered with `given_status`."""
    stamp = answer_stamp("i-1", "a", given_status)
    row = [ANSWER_ROW, "i-1", "a", given_status, body_digest(answer_body(stamp)), True, 1.1]
    world = _world(tmp_path, f'["a", "i-1", "orders", "d", 1.0]\n{json.dumps(row)}\n')
    callers = Callers(world, None)  # type: ignore[arg-type]
    attempt = Attempt("a", "/order/", "d", "127.0.0.10", 1.0, status, ended_at=1.2)
    attempt.stamps = [stamp] if stamps is None else stamps
    attempt.body = answer_body(stamp) if body is None else body
    attempt.echoed_ids = ["a"] if echoed_ids is None else echoed_ids
    callers.attempt_by_id["a"] = attempt
    return list(find_violations(world, callers, 1e12, planned_only=True))


@pytest.mark.parametrize("status", [200, 500])
def test_answer_as_its_upstream_gave_it_is_no_violation(tmp_path: Path, status: int) -> None:
    assert _find_mixed(tmp_path, status=status, given_status=status) == []


def test_failure_of_an_instance_is_no_violation(tmp_path: Path) -> None:
    assert _find_mixed(tmp_path, status=502, stamps=[], body=b"broken") == []


def test_success_where_the_upstream_failed_is_found(tmp_path: Path) -> None:
    (line,) = _find_mixed(tmp_path, status=200, given_status=500)
    assert line.startswith("mixed: success where the upstream answered 500")


@pytest.mark.parametrize(("status", "given_status"), [(500, 200), (503, 500)])
def test_failure_of_another_status_than_the_upstream_gave_is_found(
    tmp_path: Path, status: int, given_status: int
) -> None:
    lines = _find_mixed(tmp_path, status=status, given_status=given_status)
    assert any(f"mixed: failure where the upstream answered {given_status}" in x for x in lines)


@pytest.mark.parametrize("status", [200, 500])
def test_answer_with_two_stamps_is_found(tmp_path: Path, status: int) -> None:
    stamps = [answer_stamp("i-1", "a", status)] * 2
    lines = _find_mixed(tmp_path, status=status, given_status=status, stamps=stamps)
    assert any("mixed: more than one stamp" in line for line in lines)


@pytest.mark.parametrize("stamp", ["i-1.b.200", "i-2.a.200", "i-1.a.500", "i-1.HTTP/1.1 200"])
def test_stamp_of_another_answer_is_found(tmp_path: Path, stamp: str) -> None:
    (line,) = _find_mixed(tmp_path, stamps=[stamp])
    assert line.startswith("mixed: a stamp that no upstream gave to this call")


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("ids", [["b"], ["a", "a"], ["b", "a"]])
def test_answer_of_another_id_is_found(tmp_path: Path, status: int, ids: list[str]) -> None:
    lines = _find_mixed(tmp_path, status=status, given_status=status, echoed_ids=ids)
    assert any(f"mixed: ids {ids}" in line for line in lines)


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("body", [b"", b"i-1.a.200", answer_body("i-1.b.200")])
def test_body_that_its_upstream_did_not_give_is_found(
    tmp_path: Path, status: int, body: bytes
) -> None:
    (line,) = _find_mixed(tmp_path, status=status, given_status=status, body=body)
    assert line.startswith("mixed: a body that the upstream did not give")


@pytest.mark.parametrize("missing", ["stamps", "echoed_ids"])
def test_success_without_stamp_or_id_is_found(tmp_path: Path, missing: str) -> None:
    lines = _find_mixed(tmp_path, **{missing: []})  # type: ignore[arg-type]
    assert any("success without the complete answer" in line for line in lines)


@pytest.mark.parametrize(
    ("status", "readable", "given_at", "planned_only", "found"),
    [
        (200, True, 1.1, True, True),
        (200, False, 1.1, True, False),  # joined with a part of another
        (500, True, 1.1, True, False),  # another attempt followed
        (200, True, 2.4, True, False),  # on its way
        (200, True, 1.1, False, False),  # a link or process may have failed
    ],
)
def test_time_out_after_the_answer_was_written_is_found(
    tmp_path: Path,
    status: int,
    readable: bool,
    given_at: float,
    planned_only: bool,
    found: bool,
) -> None:
    row = [ANSWER_ROW, "i-1", "a", status, "d", readable, given_at]
    world = _world(tmp_path, f'["a", "i-1", "orders", "d", 1.0]\n{json.dumps(row)}\n')
    callers = Callers(world, None)  # type: ignore[arg-type]
    attempt = Attempt("a", "/order/", "d", "127.0.0.10", 1.0, 504, ended_at=2.5)
    callers.attempt_by_id["a"] = attempt
    lines = list(find_violations(world, callers, 1e12, planned_only=planned_only))
    assert any("after its answer was written" in line for line in lines) == found


class _Received:
    """Keeps what is written to a connection."""

    def __init__(self) -> None:
        self.data = b""

    def write(self, data: bytes) -> None:
        self.data += data

    def is_closing(self) -> bool:
        return False


def _answer_bytes(status: int, request_id: str, *, refusal: bool = False) -> AnswerBytes:
    data, other = (
        f"HTTP/1.1 {each} Status\r\nDate: Sat, 05 Dec 2026 00:00:00 GMT\r\n"
        f"X-Heatherhead-Request-Id: {request_id}\r\n"
        f"X-Heatherhead-Server-Stamp: i-1.{request_id}.{each}\r\n\r\nbody of {request_id}".encode()
        for each in (status, 500)
    )
    return AnswerBytes(data, other, request_id, refusal)


def _write_in_forms(*answers: tuple[AnswerBytes, str]) -> bytes:
    """Return what is written to a connection for some answers, each in its form."""

    async def main() -> bytes:
        received = _Received()
        writer = StutteringWriter(received, Random(1))  # type: ignore[arg-type]
        for answer, form in answers:
            await writer.write(answer, form)
        await asyncio.sleep(0.06)
        return received.data

    return asyncio.run(main())


@pytest.mark.parametrize("form", FORMS)
def test_stutter_writes_the_right_answer_and_one_more(form: str) -> None:
    """Else a form that writes nothing twice passes for one that is borne."""
    earlier, answer = _answer_bytes(200, "a"), _answer_bytes(200, "b")
    first, second = earlier.data, answer.data
    written = _write_in_forms((earlier, ""), (answer, form)).removeprefix(first)
    place, _, content = form.partition(" ")
    repeated = {"behind": second, "late": second}.get(place, first)
    repeated = answer.other if content == "other status" else repeated
    if place == "between":
        assert written == second[:-9] + first + second[-9:]
        return
    more = written.removesuffix(second) if place == "before" else written.removeprefix(second)
    assert len(written) - len(more) == len(second)
    assert more
    assert (more == repeated) == (content in ("whole", "other status"))
    assert ("cut" in content) <= repeated.startswith(more)


@pytest.mark.parametrize("form", DUE_FORMS)
def test_refusal_is_written_again_where_the_next_answer_to_its_id_is_due(form: str) -> None:
    refusal, other, answer = (
        _answer_bytes(503, "a", refusal=True),
        _answer_bytes(200, "b"),
        _answer_bytes(200, "a"),
    )
    written = _write_in_forms((refusal, ""), (other, ""), (answer, form))
    more = written.removeprefix(refusal.data + other.data).removesuffix(answer.data)
    assert len(written) == len(refusal.data + other.data + more + answer.data)
    assert more.startswith(b"HTTP/1.1 503 ")
    assert (more == refusal.data) == (form == "due whole")


@pytest.mark.parametrize(
    ("form", "only_refusals", "answer_id", "earlier_refusal", "refusal", "chosen"),
    [
        ("due whole", True, "a", True, False, True),
        ("due whole", True, "a", False, False, False),
        ("due whole", True, "b", True, False, False),
        ("before whole", True, "b", True, False, True),
        ("before whole", True, "b", False, False, False),
        ("before whole", False, "b", False, False, True),
        ("late whole", True, "b", True, False, False),
        ("late whole", True, "b", False, True, True),
        ("behind whole", False, "b", False, False, True),
    ],
)
def test_form_is_chosen_where_it_applies(
    form: str,
    only_refusals: bool,
    answer_id: str,
    earlier_refusal: bool,
    refusal: bool,
    chosen: bool,
) -> None:
    async def main() -> str:
        writer = StutteringWriter(_Received(), Random(1))  # type: ignore[arg-type]
        await writer.write(_answer_bytes(503, "a", refusal=earlier_refusal), "")
        spell = Spell((form,), 1.0, only_refusals=only_refusals)
        return writer.choose_form(spell, _answer_bytes(200, answer_id, refusal=refusal))

    assert asyncio.run(main()) == (form if chosen else "")
