"""Tests of the path of a call, over loopback, against scripted upstreams.

An order is a non-idempotent call, a read an idempotent one. A promise is an upstream's statement
that it has not run the request, which may then be sent to another.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.proxy.forwarder import fingerprint_of
from heatherhead.proxy.messages import HttpRequest
from heatherhead.telemetry.logs import add_event_listener, remove_event_listener
from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    read_answer,
    request,
    run_path,
    status_of,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

REFUSED = answer(status=503, body=b"full", X_Heatherhead_Not_Executed="1")


def test_answer_is_forwarded_unchanged_and_the_request_names_its_upstream() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        received = await path.send(request("/read/x?q=%2F", Accept="a/b"))
        assert status_of(received) == 200
        assert received.endswith(b"\r\n\r\nwhole")
        assert b"X-Heatherhead-Server-Stamp: stamp" in received
        sent = upstreams[0].requests[0]
        assert sent.startswith(b"GET /read/x?q=%2F HTTP/1.1\r\n")
        assert b"X-Heatherhead-Expect-Instance: u0" in sent
        assert b"Accept: a/b" in sent
        deadline_ms = int(sent.split(b"X-Heatherhead-Deadline-Ms: ")[1].split(b"\r\n")[0])
        assert deadline_ms <= 1500

    run_path(scenario, [answer()])


def test_instance_without_a_configuration_answers_not_run() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        received = await path.send(request())
        assert status_of(received) == 503
        assert b"Retry-After" in received
        assert not upstreams[0].requests

    run_path(scenario, [])


def test_unknown_path_and_bad_requests_are_refused() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(request("/none/x"))) == 404
        assert status_of(await path.send(request(X_Heatherhead_Deadline_Ms="soon"))) == 400
        assert status_of(await path.send(b"NOT HTTP\r\n\r\n")) == 400
        smuggled = request(method="POST", body=b"abc", Transfer_Encoding="chunked")
        assert status_of(await path.send(smuggled)) == 400
        large = request("/upload/x", method="POST", body=b"x" * 10_001)
        assert status_of(await path.send(large)) == 413
        assert not upstreams[0].requests

    run_path(scenario, [])


def test_order_that_was_reset_after_sending_is_never_sent_again() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        received = await path.send(request("/order/x", method="POST", body=b"pallet"))
        assert status_of(received) == 502
        assert sum(len(each.requests) for each in upstreams) == 1

    run_path(scenario, ["reset"], ["reset"])


def test_order_that_an_upstream_promises_not_to_have_run_goes_to_another() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        received = await path.send(request("/order/x", method="POST", body=b"pallet"))
        assert status_of(received) == 200
        assert [len(each.requests) for each in upstreams] == [1, 1]

    run_path(scenario, [REFUSED], [answer()])


def test_order_that_all_upstreams_refuse_is_answered_as_not_run() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        received = await path.send(request("/order/x", method="POST", body=b"pallet"))
        assert status_of(received) == 503
        assert b"Server-Stamp" not in received
        assert sum(len(each.requests) for each in upstreams) == 2

    run_path(scenario, [REFUSED], [REFUSED])


def test_order_refused_without_the_promise_is_not_sent_again() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        received = await path.send(request("/order/x", method="POST", body=b"pallet"))
        assert status_of(received) == 502
        assert sum(len(each.requests) for each in upstreams) == 1

    run_path(scenario, [answer(status=503, body=b"busy")], [answer(status=503, body=b"busy")])


def test_read_that_was_reset_is_sent_to_another_upstream() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(request())) == 200
        assert sum(len(each.requests) for each in upstreams) == 2

    run_path(scenario, ["reset"], [answer()])


def test_read_is_sent_no_more_often_than_its_route_allows() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(request())) == 502
        assert sum(len(each.requests) for each in upstreams) == 2

    run_path(scenario, ["reset"], ["reset"], ["reset"])


def test_success_without_stamp_or_with_an_encoding_is_not_forwarded() -> None:
    unstamped = b"HTTP/1.1 200 OK\r\nX-Heatherhead-Request-Id: r1\r\nContent-Length: 2\r\n\r\nhi"

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(request("/order/x", method="POST", body=b"a"))) == 502
        assert status_of(await path.send(request("/order/y", method="POST", body=b"a"))) == 502

    run_path(scenario, [unstamped, answer(Content_Encoding="gzip")])


def test_truncated_answer_is_not_accepted() -> None:
    cut = answer(body=b"0123456789")[:-4]

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(request("/order/x", method="POST", body=b"a"))) == 502

    run_path(scenario, [(cut, "close")])


def test_answer_without_length_ends_with_its_connection_unless_that_is_reset() -> None:
    unframed = answer(body=b"all of it").replace(b"Content-Length: 9\r\n", b"")

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        received = await path.send(request("/order/x", method="POST", body=b"a"))
        assert status_of(received) == 200
        assert received.endswith(b"all of it")
        assert status_of(await path.send(request("/order/y", method="POST", body=b"a"))) == 502

    run_path(scenario, [(unframed, "close"), (unframed, "reset")])


def test_late_answer_to_an_earlier_request_is_skipped() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        received = await path.send(request(request_id="r2"))
        assert received.endswith(b"mine")
        assert status_of(await path.send(request(request_id="r3"))) == 200
        assert upstreams[0].connections == 2

    late = answer("r1", body=b"late") + answer("r2", body=b"mine")
    run_path(scenario, [late, answer("r3")])


def test_late_copy_of_a_load_reading_is_no_answer_to_a_call() -> None:
    """Load readings share connections with calls, and their answers carry no request id."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        received = await path.send(request("/order/x", method="POST", body=b"a"))
        assert received.endswith(b"mine")
        assert status_of(await path.send(request(request_id="r2"))) == 200
        assert upstreams[0].connections == 2

    copy = b"HTTP/1.1 200 OK\r\nX-Heatherhead-Instance-Id: u1\r\nContent-Length: 2\r\n\r\nok"
    run_path(scenario, [copy + answer("r1", body=b"mine"), answer("r2")])


def test_extra_answer_ends_the_connection() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        assert (await path.send(request())).endswith(b"whole")
        assert (await path.send(request(request_id="r2"))).endswith(b"other")
        assert upstreams[0].connections == 2

    run_path(scenario, [answer() + answer(body=b"extra"), answer("r2", body=b"other")])


def test_wrong_upstream_at_an_address_gets_no_further_calls() -> None:
    wrong = answer(status=421, body=b"", X_Heatherhead_Instance_Id="other")

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        state = path.dispatcher.state("u1")
        assert state is not None
        state.own_in_flight = 3  # so that u0 is chosen first
        assert status_of(await path.send(request("/order/x", method="POST", body=b"a"))) == 200
        state.own_in_flight = 3
        assert status_of(await path.send(request("/order/y", method="POST", body=b"a"))) == 200
        assert len(upstreams[0].requests) == 1

    run_path(scenario, [wrong], [])


def test_unreachable_upstream_does_not_count_as_an_attempt() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.port_by_upstream["u9"] = 1  # nothing listens there
        path.configure()
        for name in ("u0",):
            state = path.dispatcher.state(name)
            assert state is not None
            state.own_in_flight = 3
        assert status_of(await path.send(request("/order/x", method="POST", body=b"a"))) == 200
        assert len(upstreams[0].requests) == 1

    run_path(scenario, [], max_attempts=1)


def test_pipelined_reads_run_concurrently_and_are_answered_in_order() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        reader, writer = await path.connect()
        writer.write(b"".join(request(request_id=f"r{number}") for number in (1, 2, 3)))
        for number in (1, 2, 3):
            received = await read_answer(reader)
            assert f"Request-Id: r{number}\r\n".encode() in received
        assert sum(each.connections for each in upstreams) == 3
        writer.close()

    def echoing(upstream: ScriptedUpstream) -> None:
        original = upstream.requests.append

        def append(data: bytes) -> None:
            request_id = data.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
            upstream.script.append(answer(request_id))
            original(data)

        class _Requests(list[bytes]):
            def append(self, data: bytes) -> None:
                append(data)

        upstream.requests = _Requests(upstream.requests)

    async def prepared(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        for upstream in upstreams:
            echoing(upstream)
        await scenario(path, upstreams)

    run_path(prepared, [], [])


def test_timed_out_call_is_answered_and_its_attempt_is_cancelled() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure(timeout_s=0.2)
        assert status_of(await path.send(request("/order/x", method="POST", body=b"a"))) == 504
        await upstreams[0].lost.wait()

    run_path(scenario, ["hang"])


def test_attempt_is_cancelled_when_the_caller_of_a_read_disconnects() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        _, writer = await path.connect()
        writer.write(request())
        await upstreams[0].arrived.wait()
        writer.close()
        await upstreams[0].lost.wait()
        assert all(state.own_in_flight == 0 for state in path.dispatcher.states)

    run_path(scenario, ["hang"], max_attempts=1)


def test_leaving_instance_finishes_calls_and_closes_connections() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        reader, writer = await path.connect()
        writer.write(request())
        await upstreams[0].arrived.wait()
        path.callers.leaving = True
        received = await read_answer(reader)
        assert status_of(received) == 200
        assert b"Connection: close" in received
        assert await reader.read() == b""
        path.forwarder.rejects_calls = True
        refused = await path.send(request(request_id="r2"))
        assert status_of(refused) == 503
        assert len(upstreams[0].requests) == 1
        writer.close()

    run_path(scenario, [answer()])


def test_chunked_body_is_forwarded_complete_with_a_length() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        reader, writer = await path.connect()
        writer.write(request("/upload/x", method="POST", Transfer_Encoding="chunked"))
        for piece in (b"3\r\nabc\r\n", b"2\r\nde\r\n", b"0\r\n\r\n"):
            await asyncio.sleep(0.01)
            assert not upstreams[0].requests
            writer.write(piece)
        assert status_of(await read_answer(reader)) == 200
        assert upstreams[0].requests[0].endswith(b"\r\n\r\nabcde")
        writer.close()

    run_path(scenario, [answer()])


def test_request_is_quarantined_after_three_crashes() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        for count in (1, 2, 3):
            call = HttpRequest("GET", "/read/x", None, b"", 0.0)  # type: ignore[arg-type]
            now = asyncio.get_running_loop().time()
            start = f"u{count} 1"
            assert path.crashes.record_crash(fingerprint_of(call), start, now, now) == count
        assert status_of(await path.send(request())) == 503
        assert not upstreams[0].requests

    run_path(scenario, [])


def test_head_is_answered_without_a_body() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        reader, writer = await path.connect()
        writer.write(request(method="HEAD"))
        head = await reader.readuntil(b"\r\n\r\n")
        assert status_of(head) == 200
        assert b"Content-Length: 5\r\n" in head
        writer.write(request(request_id="r2"))
        assert (await read_answer(reader)).endswith(b"other")
        writer.close()

    run_path(scenario, [answer()[:-5], answer("r2", body=b"other")])


def test_bodies_beyond_the_memory_bound_are_refused_as_not_run() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        path.callers.max_held_bytes = 100
        refused = await path.send(request("/upload/x", method="POST", body=b"x" * 101))
        assert status_of(refused) == 503
        assert path.callers.held_bytes == 0
        assert not upstreams[0].requests
        accepted = await path.send(request("/upload/x", method="POST", body=b"x" * 99))
        assert status_of(accepted) == 200

    run_path(scenario, [])


def test_suspension_of_the_process_counts_against_deadlines() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure(timeout_s=15.0)
        _, writer = await path.connect()
        reader, writer = await path.connect()
        writer.write(request())
        await upstreams[0].arrived.wait()
        path.forwarder.apply_suspension(5.0)
        assert status_of(await read_answer(reader)) == 504
        writer.close()

    run_path(scenario, ["hang"], max_attempts=1)


def test_calls_are_counted_by_service_and_status() -> None:
    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        await path.send(request())
        page = path.forwarder.metrics.render().decode()
        assert 'heatherhead_calls_total{outcome="200",service="stock"} 1.0' in page
        assert 'heatherhead_call_seconds_bucket{le="+Inf",part="total",service="stock"} 1.0' in page

    run_path(scenario, [answer()])


def test_read_is_sent_although_the_only_answer_so_far_came_from_a_slow_upstream() -> None:
    """The average of its readings let later reads look hopeless, so that none was sent again."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(request())) == 200
        await asyncio.sleep(1.0)
        assert status_of(await path.send(request(X_Heatherhead_Deadline_Ms="400"))) == 200
        assert len(upstreams[0].requests) == 2

    run_path(scenario, [answer(X_Heatherhead_Server_Load="1,0,4,700")])


def test_rejected_call_is_logged_with_its_evidence_and_counted() -> None:
    lines = []

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        state = path.dispatcher.state("u0")
        assert state is not None
        path.dispatcher.on_entry(state.entry, None)
        assert status_of(await path.send(request())) == 503
        assert path.forwarder.metrics.events["rejected"] == 1
        assert path.forwarder.metrics.events["rejected_beside_free_upstreams"] == 0
        assert path.forwarder.metrics.events["rejected_on_old_evidence"] == 0

    def record(event: str, _level: str, fields: Mapping[str, object]) -> None:
        if event == "rejected":
            lines.append(fields)

    add_event_listener(record)
    try:
        run_path(scenario, [])
    finally:
        remove_event_listener(record)
    assert [(each["reason"], each["upstreams"], each["free"]) for each in lines] == [
        ("no upstream", 0, 0)
    ]
    assert {"waited_s", "left_s", "work_s", "work_age_s", "baseline", "reading_age_s"} <= set(
        lines[0]
    )


def test_rejection_for_an_old_estimate_beside_a_free_upstream_is_counted() -> None:
    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        call = request(X_Heatherhead_Deadline_Ms="1")
        assert status_of(await path.send(call)) == 503
        assert path.forwarder.metrics.events["rejected_beside_free_upstreams"] == 1
        assert path.forwarder.metrics.events["rejected_on_old_evidence"] == 1

    run_path(scenario, [])
