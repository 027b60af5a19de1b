"""Tests of the operators' server with its client over the loopback interface."""

from __future__ import annotations

import asyncio
import ssl

import pytest

from heatherhead.configuration.schema import ServiceSchema
from heatherhead.membership.interface import InstanceState
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.client import (
    RefusedError,
    UnreachableError,
    create_operators_client,
)
from heatherhead.operators.event_hub import MAX_BUFFERED_EVENTS, MAX_WATCHERS
from heatherhead.operators.guard import MAX_CONCURRENT_REQUESTS, MAX_REQUEST_BYTES
from heatherhead.operators.heatherhead_grpc import (
    ConfigurationStub,
    EventsStub,
    HistogramsStub,
    InstancesStub,
    QuarantineStub,
    ServicesStub,
    UpstreamsStub,
)
from heatherhead.operators.messages import message_of_schema, schema_of_message
from heatherhead.settings.instance import TlsSettings
from heatherhead.telemetry import HistogramKind
from heatherhead.tests.certificates import AUTHORITY, INSTANCE
from heatherhead.tests.operators.fakes import OperatorsHarness, running_harness


def service(name: str = "orders", **fields: object) -> pb.Service:
    """Create a service with two upstreams."""
    upstreams = [{"id": f"u{number}", "host": "10.0.0.1", "port": 80} for number in (1, 2)]
    return message_of_schema(
        ServiceSchema.model_validate(
            {"name": name, "hosts": [f"{name}.test"], "upstreams": upstreams, **fields}
        )
    )


async def put(
    harness: OperatorsHarness,
    sent: pb.Service,
    expected: int = 0,
    change_id: str = "c1",
    dry_run: bool = False,
) -> pb.ChangeReply:
    """Put a service through a new client."""
    request = pb.PutServiceRequest(
        service=sent, expected_revision=expected, change_id=change_id, dry_run=dry_run
    )
    client = harness.client()
    try:
        return await client.change(
            change_id, lambda channel, left_s: ServicesStub(channel).Put(request, timeout=left_s)
        )
    finally:
        client.close()


async def expect_refusal(
    harness: OperatorsHarness, sent: pb.Service, **arguments: object
) -> pb.ErrorDetail:
    """Put a service that must be refused, and return the error detail."""
    with pytest.raises(RefusedError) as caught:
        await put(harness, sent, **arguments)  # type: ignore[arg-type]
    return caught.value.detail


def test_put_get_list_and_delete() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            created = await put(harness, service())
            client = harness.client()
            fetched = await client.read(
                lambda channel, left_s: ServicesStub(channel).Get(
                    pb.GetServiceRequest(name="orders"), timeout=left_s
                )
            )
            assert fetched == created.record
            assert fetched.service == service()
            listed = await client.read(
                lambda channel, _: ServicesStub(channel).List(pb.ListServicesRequest())
            )
            assert [(each.name, each.upstreams) for each in listed.services] == [("orders", 2)]
            request = pb.DeleteServiceRequest(
                name="orders", expected_revision=fetched.revision, change_id="c2"
            )
            deleted = await client.change(
                "c2", lambda channel, _: ServicesStub(channel).Delete(request)
            )
            assert not deleted.record.HasField("service")
            assert harness.replica.services() == []
            client.close()

    asyncio.run(scenario())


def test_invalid_fields_are_refused_before_the_store_is_written() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            bad = service()
            bad.upstreams[1].port = 70_000
            bad.upstreams[0].host = "db.local"
            detail = await expect_refusal(harness, bad)
            assert detail.kind == pb.ERROR_KIND_INVALID
            assert detail.field_path == "upstreams.0.host"
            assert [each.path for each in detail.problems] == [
                "upstreams.0.host",
                "upstreams.1.port",
            ]
            assert all(each.remedy for each in detail.problems)
            assert harness.store.writes == 0

    asyncio.run(scenario())


def test_overlapping_host_is_refused_and_missing_upstreams_give_a_warning() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            reply = await put(harness, service(upstreams=[]))
            assert [each.path for each in reply.warnings] == ["upstreams"]
            detail = await expect_refusal(
                harness, service("stock", hosts=["ORDERS.test"]), change_id="c2"
            )
            assert (detail.kind, detail.field_path) == (pb.ERROR_KIND_INVALID, "hosts.0")
            assert "orders" in detail.reason
            assert harness.store.writes == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("change_id", ["", "with space", "x" * 129])
def test_bad_change_id_is_refused(change_id: str) -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            detail = await expect_refusal(harness, service(), change_id=change_id)
            assert (detail.kind, detail.field_path) == (pb.ERROR_KIND_INVALID, "change_id")

    asyncio.run(scenario())


def test_outdated_revision_is_refused_with_the_conflicting_record() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            first = await put(harness, service(), change_id="first")
            revision = first.record.revision
            winner = await put(harness, service(queue_limit=7), revision, "winner")
            detail = await expect_refusal(
                harness, service(queue_limit=9), expected=revision, change_id="l"
            )
            assert detail.kind == pb.ERROR_KIND_CONFLICT
            assert detail.conflicting_record == winner.record
            assert detail.conflicting_record.service.queue_limit == 7
            assert harness.store.writes == 2

    asyncio.run(scenario())


def test_conflict_omits_a_service_too_large_for_a_trailer() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            many = [{"id": f"u{n}", "host": "10.0.0.1", "port": 80} for n in range(2000)]
            await put(harness, service(upstreams=many), change_id="winner")
            detail = await expect_refusal(harness, service(), change_id="loser")
            assert detail.kind == pb.ERROR_KIND_CONFLICT
            assert detail.conflicting_record.change_id == "winner"
            assert detail.conflicting_record.service_omitted

    asyncio.run(scenario())


def test_change_with_lost_store_replies_is_applied_once() -> None:
    async def scenario() -> None:
        async with running_harness(servers=2) as harness:
            harness.store.replies_to_lose = 6  # more than the attempts of the editor
            created = await put(harness, service())
            assert created.record.change_id == "c1"
            assert harness.store.writes == 1
            again = await put(harness, service())
            assert again.record == created.record
            assert harness.store.writes == 1

    asyncio.run(scenario())


def test_repeated_change_succeeds_despite_later_conflicting_changes() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            created = await put(harness, service(), change_id="c1")
            without_host = service(hosts=["new.test"])
            await put(harness, without_host, created.record.revision, "c2")
            await put(harness, service("stock", hosts=["orders.test"]), change_id="c3")
            again = await put(harness, service(), change_id="c1")
            assert again.record.revision == created.record.revision
            assert harness.store.writes == 3

    asyncio.run(scenario())


def test_store_outage_is_reported_as_unavailable() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            harness.store.is_down = True
            detail = await expect_refusal(harness, service())
            assert detail.kind == pb.ERROR_KIND_STORE_UNAVAILABLE

    asyncio.run(scenario())


def test_dry_run_checks_and_writes_nothing() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            reply = await put(harness, service(), dry_run=True)
            assert reply.dry_run
            assert reply.record.service == service()
            detail = await expect_refusal(harness, service(), expected=5, dry_run=True)
            assert detail.kind == pb.ERROR_KIND_CONFLICT
            assert harness.store.writes == 0

    asyncio.run(scenario())


async def drain(harness: OperatorsHarness, *upstream_ids: str, **fields: object) -> pb.ChangeReply:
    """Drain upstreams of the service `orders`."""
    request = pb.DrainRequest(
        service="orders", upstream_ids=upstream_ids, change_id="drain-1", **fields
    )
    client = harness.client()
    try:
        return await client.change(
            "drain-1", lambda channel, _: UpstreamsStub(channel).Drain(request)
        )
    finally:
        client.close()


def test_drain_is_retried_on_the_latest_revision_after_a_conflict() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            created = await put(harness, service())
            other = schema_of_message(service(queue_limit=3))
            harness.store.before_write = lambda: harness.other_editor().put(
                other, created.record.revision, "racer"
            )
            reply = await drain(harness, "u2")
            assert [each.draining for each in reply.record.service.upstreams] == [False, True]
            assert reply.record.service.queue_limit == 3
            assert (await drain(harness, "u2")).unchanged
            assert harness.store.writes == 3

    asyncio.run(scenario())


def test_drain_with_an_expected_revision_is_not_retried_after_a_conflict() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            created = await put(harness, service())
            await put(harness, service(queue_limit=3), created.record.revision, "winner")
            with pytest.raises(RefusedError) as caught:
                await drain(harness, "u1", expected_revision=created.record.revision)
            assert caught.value.detail.conflicting_record.change_id == "winner"

    asyncio.run(scenario())


def test_drain_of_an_unknown_upstream_is_refused_as_not_found() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            await put(harness, service())
            with pytest.raises(RefusedError) as caught:
                await drain(harness, "u1", "u7")
            assert caught.value.detail.kind == pb.ERROR_KIND_NOT_FOUND
            assert "u7" in caught.value.detail.reason

    asyncio.run(scenario())


def test_upstreams_are_listed_with_their_state_page_by_page() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            many = [{"id": f"u{n}", "host": "10.0.0.1", "port": 80} for n in range(400)]
            for name in ("a", "b", "c"):
                await put(harness, service(name, upstreams=many), change_id=name)
            client = harness.client()
            seen, token, pages = [], "", 0
            while pages == 0 or token:
                request = pb.ListUpstreamsRequest(page_token=token)
                reply = await client.read(
                    lambda channel, _, sent=request: UpstreamsStub(channel).List(sent)
                )
                seen += [(each.service, each.upstream.id) for each in reply.upstreams]
                token, pages = reply.next_page_token, pages + 1
            client.close()
            assert pages == 3
            assert len(set(seen)) == len(seen) == 1200
            assert reply.upstreams[0].state == "ready"
            assert reply.upstreams[0].oldest_age_s == 0.25

    asyncio.run(scenario())


def test_quarantine_is_listed_and_released() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            client = harness.client()
            listed = await client.read(
                lambda channel, _: QuarantineStub(channel).List(pb.ListQuarantineRequest())
            )
            assert [each.fingerprint for each in listed.entries] == [2**64 - 2]
            request = pb.ReleaseRequest(service="orders", fingerprint=2**64 - 2)
            await client.read(lambda channel, _: QuarantineStub(channel).Release(request))
            assert harness.router.entries == []
            with pytest.raises(RefusedError) as caught:
                await client.read(lambda channel, _: QuarantineStub(channel).Release(request))
            assert caught.value.detail.kind == pb.ERROR_KIND_NOT_FOUND
            client.close()

    asyncio.run(scenario())


def test_instances_and_histograms_are_listed() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            harness.membership.set_state("a3", InstanceState.SUSPECTED)
            harness.telemetry.observe("orders", "default", HistogramKind.ADDED, 0.004)
            client = harness.client()
            instances = await client.read(
                lambda channel, _: InstancesStub(channel).List(pb.ListInstancesRequest())
            )
            states = [(each.id, each.state) for each in instances.instances]
            assert states == [("a1", "live"), ("a2", "live"), ("a3", "suspected")]
            histograms = await client.read(
                lambda channel, _: HistogramsStub(channel).List(pb.ListHistogramsRequest())
            )
            (one,) = histograms.histograms
            assert (one.service, one.kind, one.recent.count) == (
                "orders",
                pb.HISTOGRAM_KIND_ADDED,
                1,
            )
            assert one.total.p99 == pytest.approx(0.004, rel=0.01)
            client.close()

    asyncio.run(scenario())


def test_status_and_follow_report_the_missing_instances() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            revision = (await put(harness, service())).record.revision
            client = harness.client()
            harness.status.revision_by_id = {"a2": revision, "a3": revision - 1}
            status = await client.read(
                lambda channel, _: ConfigurationStub(channel).Status(pb.StatusRequest())
            )
            assert (status.revision, list(status.missing)) == (revision, ["a3"])
            harness.status.revision_by_id = {"a2": revision, "a3": -1}  # no revision reported yet
            status = await client.read(
                lambda channel, _: ConfigurationStub(channel).Status(pb.StatusRequest())
            )
            assert [each.HasField("revision") for each in status.applied] == [True, True, False]
            instances = await client.read(
                lambda channel, _: InstancesStub(channel).List(pb.ListInstancesRequest())
            )
            assert not instances.instances[2].HasField("applied_revision")
            progress = []
            async for each in client.stream(
                lambda channel: ConfigurationStub(channel).Follow,
                pb.FollowRequest(revision=revision),
            ):
                progress.append((each.in_force, list(each.missing)))
                harness.status.revision_by_id["a3"] = revision
            assert progress == [(2, ["a3"]), (3, [])]
            client.close()

    asyncio.run(scenario())


def test_status_warns_of_overlapping_services() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            await put(harness, service())
            racer = schema_of_message(service("stock", hosts=["orders.test"]))
            await harness.editor.put(racer, 0, "c2")
            status = await harness.client().read(
                lambda channel, _: ConfigurationStub(channel).Status(pb.StatusRequest())
            )
            assert [each.path for each in status.warnings] == ["services.stock.hosts.0"]

    asyncio.run(scenario())


def test_watch_streams_changes_instance_states_and_log_events() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            client = harness.client()
            events = client.stream(lambda channel: EventsStub(channel).Watch, pb.WatchRequest())
            assert (await anext(events)).WhichOneof("event") == "watch_started"
            await put(harness, service())
            harness.membership.set_state("a2", InstanceState.DEAD)
            seen = [await anext(events) for _ in range(3)]
            assert seen[0].service_changed.change_id == "c1"
            assert seen[1].notice.name == "service_changed_by_operator"
            assert seen[1].notice.fields["service"] == "orders"
            assert seen[2].instance_changed == pb.InstanceChanged(
                instance_id="a2", old_state="live", new_state="dead"
            )
            assert [each.sequence for each in seen] == [1, 2, 3]
            await events.aclose()
            client.close()

    asyncio.run(scenario())


def test_slow_watcher_receives_the_number_of_lost_events() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            client = harness.client()
            kinds = [pb.EVENT_KIND_INSTANCE_CHANGED]
            events = client.stream(
                lambda channel: EventsStub(channel).Watch, pb.WatchRequest(kinds=kinds)
            )
            await anext(events)
            changes = MAX_BUFFERED_EVENTS + 10
            for number in range(changes):  # without yielding, so that the watcher can't send
                state = InstanceState.DEAD if number % 2 == 0 else InstanceState.LIVE
                harness.membership.set_state("a2", state)
            lost = await anext(events)
            assert lost.events_lost.count == 10
            first = await anext(events)
            assert first.sequence == lost.sequence + 1 == 11
            await events.aclose()
            client.close()

    asyncio.run(scenario())


def test_concurrent_requests_are_limited() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            client = harness.client()
            request = pb.FollowRequest(revision=10**6)
            follows = []
            for _ in range(MAX_CONCURRENT_REQUESTS):
                follows.append(
                    client.stream(lambda channel: ConfigurationStub(channel).Follow, request)
                )
                await anext(follows[-1])
            with pytest.raises(RefusedError) as caught:
                await client.read(
                    lambda channel, _: ConfigurationStub(channel).Status(pb.StatusRequest())
                )
            assert caught.value.detail.kind == pb.ERROR_KIND_TOO_BUSY
            for follow in follows:
                await follow.aclose()
            await client.read(
                lambda channel, _: ConfigurationStub(channel).Status(pb.StatusRequest())
            )
            client.close()

    asyncio.run(scenario())


def test_refused_tls_handshake_is_reported_as_unreachable() -> None:
    async def scenario() -> None:
        certificate, key = INSTANCE
        tls = TlsSettings(certificate=certificate, key=key, client_ca=AUTHORITY)
        async with running_harness(tls=tls) as harness:
            context = ssl.create_default_context(cafile=AUTHORITY)
            context.set_alpn_protocols(["h2"])
            client = create_operators_client(harness.addresses, context, timeout_s=1.0)
            request = pb.DeleteServiceRequest(name="orders", change_id="c1")
            with pytest.raises(UnreachableError):
                await client.change("c1", lambda channel, _: ServicesStub(channel).Delete(request))

    asyncio.run(scenario())


def test_watches_and_message_sizes_are_limited() -> None:
    async def scenario() -> None:
        async with running_harness() as harness:
            client = harness.client()
            watches = []
            for _ in range(MAX_WATCHERS):
                watches.append(
                    client.stream(lambda channel: EventsStub(channel).Watch, pb.WatchRequest())
                )
                await anext(watches[-1])
            with pytest.raises(RefusedError) as caught:
                await anext(
                    client.stream(lambda channel: EventsStub(channel).Watch, pb.WatchRequest())
                )
            assert caught.value.detail.kind == pb.ERROR_KIND_TOO_BUSY
            large = pb.PutServiceRequest(change_id="x" * (MAX_REQUEST_BYTES + 1))
            with pytest.raises(RefusedError) as caught:
                await client.read(lambda channel, _: ServicesStub(channel).Put(large))
            assert caught.value.detail.kind == pb.ERROR_KIND_TOO_BUSY
            for watch in watches:
                await watch.aclose()
            client.close()

    asyncio.run(scenario())
