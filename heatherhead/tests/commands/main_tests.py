"""Tests of the tool through its main function, with real servers on the loopback interface."""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.configuration.schema import ServiceSchema
from heatherhead.operators.event_hub import EventHub, Watcher
from heatherhead.settings.instance import TlsSettings
from heatherhead.telemetry import CallOutcome, HistogramKind
from heatherhead.tests.certificates import AUTHORITY, INSTANCE, OPERATOR, STRANGER
from heatherhead.tests.commands.fakes import HarnessThread, ReplyDroppingProxy, Tool, harness_thread
from heatherhead.tests.operators.fakes import unused_address

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from heatherhead.operators.heatherhead_pb2 import EventKind

ORDERS = """{
    // Takes the wholesalers' orders.
    "name": "orders",
    "hosts": ["orders.test"],
    "queue_limit": %d,
    "upstreams": [
        {"id": "u1", "host": "10.0.0.1", "port": 80},
        {"id": "u2", "host": "10.0.0.2", "port": 80},
    ],
}"""


@pytest.fixture
def thread() -> Iterator[HarnessThread]:
    with harness_thread(servers=2) as running:
        yield running


@pytest.fixture
def tool(thread: HarnessThread, capsys: pytest.CaptureFixture[str]) -> Tool:
    return Tool(list(thread.harness.addresses), capsys)


@pytest.fixture
def document(tmp_path: Path) -> str:
    path = tmp_path / "orders.json"
    path.write_text(ORDERS % 5)
    return str(path)


def replace_orders_as_other_operator(thread: HarnessThread, revision: int) -> None:
    """Replace the service orders with a change of another operator."""
    other = ServiceSchema.model_validate({"name": "orders", "queue_limit": 77})
    thread.call(thread.harness.other_editor().put(other, revision, "other-operator"))


def test_put_shows_differences_and_get_prints_the_document(
    thread: HarnessThread, tool: Tool, document: str, tmp_path: Path
) -> None:
    made = tool.run("services", "put", document, "--yes")
    assert made.code == ExitCode.DONE
    assert "+ service orders" in made.err
    (tmp_path / "orders.json").write_text(ORDERS % 9)
    changed = tool.run("services", "put", document, "--yes", "--json")
    assert json.loads(changed.out)["differences"] == [
        {"path": "queue_limit", "before": 5, "after": 9}
    ]
    got = tool.run("services", "get", "orders")
    (tmp_path / "orders.json").write_text(got.out)
    again = tool.run("services", "put", document, "--yes")
    assert "nothing to change" in again.out
    assert thread.harness.store.writes == 2


def test_change_needs_confirmation_or_the_yes_option(
    thread: HarnessThread, tool: Tool, document: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert tool.run("services", "put", document).code == ExitCode.NOT_CONFIRMED
    monkeypatch.setattr(sys.stdin, "isatty", lambda: True, raising=False)
    monkeypatch.setattr(sys.stdin, "readline", lambda: "no\n", raising=False)
    assert tool.run("services", "put", document).code == ExitCode.NOT_CONFIRMED
    assert thread.harness.store.writes == 0
    monkeypatch.setattr(sys.stdin, "readline", lambda: "y\n", raising=False)
    assert tool.run("services", "put", document).code == ExitCode.DONE
    assert thread.harness.store.writes == 1


def test_invalid_document_reports_every_wrong_field(tool: Tool, tmp_path: Path) -> None:
    path = tmp_path / "bad.json"
    path.write_text('{"name": "orders", "upstream": [], "queue_limit": 0}')
    run = tool.run("services", "put", str(path), "--yes", "--json")
    assert run.code == ExitCode.INVALID
    problems = json.loads(run.err)["error"]["problems"]
    assert [each["path"] for each in problems] == ["queue_limit", "upstream"]
    assert problems[1]["remedy"] == "write upstreams instead"


def test_refusal_by_the_instance_reports_the_field(
    tool: Tool, document: str, tmp_path: Path
) -> None:
    tool.run("services", "put", document, "--yes")
    path = tmp_path / "stock.json"
    path.write_text('{"name": "stock", "hosts": ["orders.test"]}')
    run = tool.run("services", "put", str(path), "--yes")
    assert run.code == ExitCode.INVALID
    assert "hosts.0: host name orders.test chooses service orders already" in run.err


def test_concurrent_change_is_a_conflict_and_is_shown(
    thread: HarnessThread, tool: Tool, document: str, tmp_path: Path
) -> None:
    tool.run("services", "put", document, "--yes")
    revision = thread.harness.replica.revision
    (tmp_path / "orders.json").write_text(ORDERS % 9)

    async def race() -> None:
        other = ServiceSchema.model_validate({"name": "orders", "queue_limit": 77})
        await thread.harness.other_editor().put(other, revision, "other-operator")

    thread.harness.store.before_write = race
    run = tool.run("services", "put", document, "--yes")
    assert run.code == ExitCode.CONFLICT
    assert "change other-operator" in run.err
    assert "~ queue_limit: 5 -> 77" in run.err
    assert thread.harness.replica.service("orders").queue_limit == 77  # type: ignore[union-attr]


def test_outdated_expected_revision_is_a_conflict(
    thread: HarnessThread, tool: Tool, document: str
) -> None:
    run = tool.run("services", "put", document, "--yes", "--expected-revision=3")
    assert run.code == ExitCode.CONFLICT
    assert thread.harness.store.writes == 0


def test_unreachable_first_address_falls_back_to_the_next(
    thread: HarnessThread, tool: Tool, document: str
) -> None:
    dead = thread.call(unused_address())
    tool.addresses.insert(0, dead)
    assert tool.run("services", "put", document, "--yes").code == ExitCode.DONE
    tool.addresses[1:] = []
    run = tool.run("services", "list")
    assert run.code == ExitCode.UNREACHABLE
    assert str(dead) in run.err


def test_change_is_made_once_after_a_lost_reply(
    thread: HarnessThread, tool: Tool, document: str
) -> None:
    proxy = ReplyDroppingProxy(tool.addresses[0])
    tool.addresses[0] = thread.call(proxy.start())

    async def drop_replies() -> None:
        proxy.drops_replies = True

    thread.harness.store.before_write = drop_replies
    run = tool.run("services", "put", document, "--yes", "--change-id=c1")
    assert run.code == ExitCode.DONE
    assert proxy.drops_replies
    assert thread.harness.store.writes == 1
    thread.call(proxy.stop())


def test_change_with_unknown_outcome_is_resolved_by_its_id(
    thread: HarnessThread, tool: Tool, document: str
) -> None:
    proxy = ReplyDroppingProxy(tool.addresses[0])
    all_addresses = list(tool.addresses)
    tool.addresses[:] = [thread.call(proxy.start())]

    async def drop_replies() -> None:
        proxy.drops_replies = True

    thread.harness.store.before_write = drop_replies
    run = tool.run("services", "put", document, "--yes", "--change-id=c1", "--timeout=0.5")
    assert run.code == ExitCode.OUTCOME_UNKNOWN
    assert "--change-id c1" in run.err
    tool.addresses[:] = all_addresses
    replace_orders_as_other_operator(thread, thread.harness.replica.revision)
    thread.call(thread.harness.editor.delete("orders", 0, "refresh"))  # reads the newest record
    run = tool.run("services", "put", document, "--yes", "--change-id=c1")
    assert run.code == ExitCode.DONE
    assert "had been made before" in run.err
    assert thread.harness.store.writes == 2
    thread.call(proxy.stop())


def test_refusal_after_a_lost_reply_leaves_the_outcome_unknown(
    thread: HarnessThread, tool: Tool, document: str
) -> None:
    proxy = ReplyDroppingProxy(tool.addresses[0])
    tool.addresses[0] = thread.call(proxy.start())

    def stop_store() -> None:
        thread.harness.replica.by_name.clear()  # as on an instance that has not received the change
        thread.harness.store.is_down = True

    async def drop_replies_and_stop_store() -> None:
        proxy.drops_replies = True
        asyncio.get_running_loop().call_soon(stop_store)

    thread.harness.store.before_write = drop_replies_and_stop_store
    run = tool.run("services", "put", document, "--yes", "--timeout=0.5")
    assert run.code == ExitCode.OUTCOME_UNKNOWN
    thread.call(proxy.stop())


def test_clients_without_a_trusted_certificate_are_refused(
    document: str, capsys: pytest.CaptureFixture[str]
) -> None:
    certificate, key = INSTANCE
    tls = TlsSettings(certificate=certificate, key=key, client_ca=AUTHORITY)
    with harness_thread(tls=tls) as thread:
        tool = Tool(list(thread.harness.addresses), capsys)

        def put(*options: str) -> int:
            return tool.run("services", "put", document, "--yes", *options).code

        assert put() == ExitCode.UNREACHABLE
        assert put(f"--ca={AUTHORITY}") == ExitCode.UNREACHABLE
        stranger, stranger_key = STRANGER
        certificate_options = (f"--certificate={stranger}", f"--key={stranger_key}")
        assert put(f"--ca={AUTHORITY}", *certificate_options) == ExitCode.UNREACHABLE
        assert thread.harness.store.writes == 0
        operator, operator_key = OPERATOR
        certificate_options = (f"--certificate={operator}", f"--key={operator_key}")
        assert put(f"--ca={stranger}", *certificate_options) == ExitCode.UNREACHABLE
        assert put(f"--ca={AUTHORITY}", *certificate_options) == ExitCode.DONE


def test_store_outage_has_its_own_exit_code(
    thread: HarnessThread, tool: Tool, document: str
) -> None:
    thread.harness.store.is_down = True
    run = tool.run("services", "put", document, "--yes")
    assert run.code == ExitCode.STORE_UNAVAILABLE


def test_wait_returns_when_the_change_is_in_force(
    thread: HarnessThread, tool: Tool, document: str
) -> None:
    thread.harness.status.revision_by_id = {"a2": 10**6, "a3": 0}
    timed_out = tool.run("services", "put", document, "--yes", "--wait", "--wait-timeout=0.3")
    assert timed_out.code == ExitCode.NOT_IN_FORCE
    assert "in force on 2 of 3 instances, missing: a3" in timed_out.err
    status = json.loads(tool.run("config", "status", "--json").out)
    assert status["missing"] == ["a3"]
    assert status["revision"] == thread.harness.replica.revision
    thread.harness.status.revision_by_id["a3"] = 10**6
    done = tool.run("upstreams", "drain", "orders", "u1", "--yes", "--wait")
    assert done.code == ExitCode.DONE
    assert "in force on 3 of 3 instances" in done.err
    assert tool.run("config", "status", "--wait").code == ExitCode.DONE


def test_drain_and_undrain_change_the_upstreams(
    thread: HarnessThread, tool: Tool, document: str
) -> None:
    tool.run("services", "put", document, "--yes")
    drained = tool.run("upstreams", "drain", "orders", "u1", "u2", "--yes")
    assert "~ upstreams.u1.draining: false -> true" in drained.err
    assert "warning: upstreams: all are draining" in drained.err
    listed = tool.run("upstreams", "list", "--state=draining")
    assert [line.split()[2] for line in listed.out.splitlines()[1:]] == ["u1", "u2"]
    assert tool.run("upstreams", "undrain", "orders", "u2", "--yes").code == ExitCode.DONE
    states = [each.draining for each in thread.harness.replica.service("orders").upstreams]  # type: ignore[union-attr]
    assert states == [True, False]
    assert tool.run("upstreams", "drain", "orders", "u9", "--yes").code == ExitCode.NOT_FOUND


def test_delete_is_made_once_and_removes_the_service(
    thread: HarnessThread, tool: Tool, document: str
) -> None:
    tool.run("services", "put", document, "--yes")
    assert tool.run("services", "delete", "orders", "--dry-run").code == ExitCode.DONE
    assert tool.run("services", "list").out.count("orders") > 0
    assert tool.run("services", "delete", "orders", "--yes", "--change-id=d1").code == ExitCode.DONE
    assert tool.run("services", "delete", "orders", "--yes", "--change-id=d1").code == ExitCode.DONE
    assert tool.run("services", "delete", "orders", "--yes").code == ExitCode.NOT_FOUND
    assert tool.run("services", "get", "orders").code == ExitCode.NOT_FOUND
    assert tool.run("services", "put", document, "--yes").code == ExitCode.DONE
    assert thread.harness.store.writes == 3


def test_tables_are_printed_without_the_json_option(thread: HarnessThread, tool: Tool) -> None:
    thread.harness.telemetry.observe("orders", "default", HistogramKind.ADDED, 0.004)
    histograms = tool.run("histograms")
    assert "4.0" in histograms.out.splitlines()[1]
    instances = tool.run("instances")
    assert [line.split()[0] for line in instances.out.splitlines()] == ["ID", "a1", "a2", "a3"]
    quarantine = tool.run("quarantine", "list")
    fingerprint = quarantine.out.splitlines()[1].split()[2]
    assert tool.run("quarantine", "release", "orders", fingerprint, "--yes").code == ExitCode.DONE
    assert thread.harness.router.entries == []
    assert "a1" in tool.run("version").out


def set_operators_addresses(thread: HarnessThread) -> None:
    """Set the addresses of a1 and a2 to those of the two servers; a3 stays unreachable."""
    harness = thread.harness
    for instance_id, address in zip(("a1", "a2"), harness.addresses, strict=True):
        instance = harness.membership.by_id[instance_id]
        harness.membership.by_id[instance_id] = replace(instance, operators=address)


def test_all_option_queries_every_live_instance(
    thread: HarnessThread, tool: Tool, document: str
) -> None:
    tool.run("services", "put", document, "--yes")
    set_operators_addresses(thread)
    run = tool.run("upstreams", "list", "orders", "--all", "--json")
    assert run.code == ExitCode.DONE
    assert "a3 is left out" in run.err
    upstream_ids = [each["upstream"]["id"] for each in json.loads(run.out)]
    assert upstream_ids == ["u1", "u2", "u1", "u2"]
    run = tool.run("quarantine", "list", "--all", "--json")
    assert [each["fingerprint"] for each in json.loads(run.out)] == ["fffffffffffffffe"] * 2


def test_histograms_of_all_instances_are_merged(thread: HarnessThread, tool: Tool) -> None:
    harness = thread.harness
    set_operators_addresses(thread)
    for value in (0.001, 0.002, 0.1):
        harness.telemetry.observe("orders", "default", HistogramKind.UPSTREAM, value)
    harness.telemetry.count_outcome("orders", "default", CallOutcome.ANSWERED)
    run = tool.run("histograms", "--all", "--json")
    assert run.code == ExitCode.DONE
    assert "a3 is left out" in run.err
    document = json.loads(run.out)
    (histogram,) = document["histograms"]
    assert histogram["total"]["count"] == 6
    assert histogram["total"]["p50"] == pytest.approx(0.002, rel=0.01)
    assert histogram["total"]["p99"] == pytest.approx(0.1, rel=0.01)
    assert [each["total"] for each in document["outcomes"]] == [2]


def test_events_are_printed_until_the_count(
    thread: HarnessThread, tool: Tool, monkeypatch: pytest.MonkeyPatch
) -> None:
    original_watch = EventHub.watch
    change_ids = iter(("c1", "c3"))

    async def change() -> None:
        service = ServiceSchema.model_validate({"name": "stock"})
        await thread.harness.editor.put(service, 0, next(change_ids))

    def watch_and_change(hub: EventHub, kinds: list[EventKind]) -> Watcher:
        watcher = original_watch(hub, kinds)
        asyncio.ensure_future(change())
        return watcher

    monkeypatch.setattr(EventHub, "watch", watch_and_change)
    run = tool.run("events", "--kind=services", "--count=1")
    assert run.code == ExitCode.DONE
    assert "service stock changed" in run.out
    thread.call(thread.harness.editor.delete("stock", thread.harness.replica.revision, "c2"))
    run = tool.run("events", "--count=1", "--json")
    started, changed = (json.loads(line) for line in run.out.splitlines())
    assert "watch_started" in started
    assert changed["service_changed"]["change_id"] == "c3"


@pytest.mark.parametrize(
    "words",
    [
        ("nothing",),
        ("services", "put"),
        ("services", "list", "--timeout=soon"),
        ("quarantine", "release", "orders", "xyz", "--yes"),
    ],
)
def test_wrong_usage_has_its_own_exit_code(tool: Tool, words: tuple[str, ...]) -> None:
    assert tool.run(*words).code == ExitCode.USAGE


def test_options_may_precede_the_verb(tool: Tool) -> None:
    run = tool.run("--json", "services", "list")
    assert (run.code, json.loads(run.out)) == (ExitCode.DONE, [])
