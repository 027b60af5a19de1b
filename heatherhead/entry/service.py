"""Builds the parts of an entry instance, starts them, and shuts down gracefully."""

from __future__ import annotations

import asyncio
import secrets
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from heatherhead.customers.usage_caps import CapBounds
from heatherhead.dispatch.budget import slack_of
from heatherhead.dispatch.crashes import ReportEffect, create_crash_table
from heatherhead.dispatch.dispatcher import create_dispatcher
from heatherhead.dispatch.reach import create_reach
from heatherhead.dispatch.tail_hedging import create_tail_hedging
from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.entry.addresses import create_address_book
from heatherhead.entry.route_explanation import explain_route
from heatherhead.entry.settings import HostPort
from heatherhead.entry.store_view import create_store_view
from heatherhead.entry.suspensions import create_suspension_watch
from heatherhead.fleet.announcement import create_announcement
from heatherhead.fleet.candidacy import create_candidacy
from heatherhead.fleet.cells import cell_of_upstream
from heatherhead.fleet.exchange import create_fleet_exchange
from heatherhead.fleet.home_view import create_home_view
from heatherhead.fleet.members import (
    MEMBER_PREFIX,
    create_member_table,
    decode_member,
    own_member,
)
from heatherhead.fleet.peer_channel import create_peer_channel
from heatherhead.fleet.peer_messages import (
    CallCounts,
    ContentionReport,
    CrashNotice,
    HomeStatus,
    LeaveNotice,
    LoadReport,
    PermitReply,
    PermitRequest,
    RateLimitReport,
    ReachReport,
    UsageBalance,
    UsageReport,
)
from heatherhead.fleet.permits import create_permit_exchange
from heatherhead.fleet.relay import RelayState, create_relay_server
from heatherhead.fleet.replica import create_store_replica
from heatherhead.fleet.store_follower import create_store_follower
from heatherhead.fleet.usage_exchange import create_usage_exchange
from heatherhead.fleet.warmup_exchange import create_warmup_exchange
from heatherhead.fleet.warmup_messages import (
    WarmupPermitReply,
    WarmupPermitRequest,
    WarmupReport,
)
from heatherhead.proxy.answer_memory import create_answer_memory
from heatherhead.proxy.caller_connection import create_caller_connections
from heatherhead.proxy.detour import create_detours
from heatherhead.proxy.forwarder import create_forwarder
from heatherhead.proxy.load_reader import create_load_reader
from heatherhead.proxy.reach_prober import create_reach_prober
from heatherhead.proxy.upstream_pool import create_upstream_pool
from heatherhead.registry.evacuations import create_evacuations
from heatherhead.registry.registry import create_upstream_registry
from heatherhead.routes.table import create_route_table
from heatherhead.store.history import history_of, plain_revision, revision_text
from heatherhead.telemetry.entry_metrics import create_entry_metrics
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from heatherhead.dispatch.crashes import CrashReport
    from heatherhead.dispatch.regions import Regions
    from heatherhead.dispatch.upstream_state import UpstreamState
    from heatherhead.entry.addresses import AddressAnswer
    from heatherhead.entry.pages import PageHandlers
    from heatherhead.entry.route_explanation import ExplainedCall
    from heatherhead.entry.settings import EntrySettings
    from heatherhead.entry.store_view import Decoder
    from heatherhead.fleet.members import Member
    from heatherhead.fleet.peer_messages import PeerMessage
    from heatherhead.proxy.dialect import Dialect
    from heatherhead.registry.entries import UpstreamEntry
    from heatherhead.routes.model import Customer
    from heatherhead.store.interface import Store

__all__ = ["EntryService", "create_entry_service"]

BODY_MEMORY_SHARE = 0.25  # of the process's memory; bodies are copied once while they are sent
DETOUR_BODY_MEMORY_SHARE = 0.1  # of the process's memory, for bodies that peers send
ANSWER_MEMORY_SHARE = 0.15  # of the process's memory; a complete answer is copied once
LOAD_READ_INTERVAL_S = 0.1  # a transient slowdown of an upstream lasts about 0.5 s
REJECT_AFTER_S = 3.0  # after leaving begins; callers have requested addresses again by then
FINAL_ANSWERS_S = 0.5  # for answers in progress to end before SIGKILL
IDLE_BEFORE_END_S = 0.6  # a leaving instance without calls for that long ends early
MIN_LEAVE_S = 2.5
LEAVE_POLL_INTERVAL_S = 0.1
EXPIRY_INTERVAL_S = 0.2
LISTEN_BACKLOG = 1024
WATCHERS_PER_REGION = 2  # one may lose the store; all other instances follow these
FIND_HOMES_INTERVAL_S = 0.5  # between two reads of the members in the store
FIND_HOMES_ATTEMPTS = 4  # after these, a standby instance reads the whole store itself
# A seed may be of another region; by then the members that have just started are in the store.
SEEDS_AFTER_S = 1.0
CALL_RATE_WINDOW_S = 1.0  # short enough to follow bursts, which last for seconds
NO_CUSTOMERS: dict[str, Customer] = {}
RELOADABLE_FIELDS = frozenset({"drain_s", "grace_s", "retry_slack", "seeds"})


class EntryService:
    """One entry instance; must be created inside the running loop."""

    def __init__(
        self, settings: EntrySettings, store: Store, decoder: Decoder, dialect: Dialect
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.settings = settings
        self.incarnation = secrets.token_hex(4)
        self.table = create_route_table()
        self.registry = create_upstream_registry()
        self.evacuations = create_evacuations(settings.region_by_zone)
        self.members = create_member_table(own_member(settings, self.incarnation))
        self.dispatcher = create_dispatcher(
            settings.availability_zone,
            settings.region_by_zone,
            settings.retry_ratio,
            settings.retry_window_s,
            own_slack=0.0,
        )
        answer_bytes = int(settings.memory_mb * 1024 * 1024 * ANSWER_MEMORY_SHARE)
        answer_memory = create_answer_memory(answer_bytes)
        self.pool = create_upstream_pool(answer_memory)
        self.reach = create_reach(
            self._loop.time, lambda service: len(self.dispatcher.states_of(service))
        )
        self.reach.on_lost = self._on_service_lost
        self.reach.on_regained = self._on_service_regained
        self.metrics = create_entry_metrics()
        self.suspensions = create_suspension_watch()
        self._store = store
        self.homes = create_home_view(self.members, self._loop.time)
        self.replica = create_store_replica()
        view = create_store_view(
            decoder,
            self.table,
            self.registry,
            self.members,
            self.evacuations,
            self._on_configuration,
        )
        self.replica.subscribe(view.apply_event)
        self.relay = create_relay_server(self.replica)
        self.follower = create_store_follower(
            store, "", self.replica, self._verify_rank, self._relay_peers, lambda: self.table.loaded
        )
        self.relay.after_outage = lambda: self.follower.after_outage
        self.relay.relay_state = self._relay_state
        self._published_state: RelayState | None = None
        self.candidacy = create_candidacy(
            self.members,
            self._loop.time,
            lambda: self.replica.revision_of(MEMBER_PREFIX + self.members.own.id) > 0,
            lambda: self.follower.peer_silence_s,
            lambda: len(self.homes.current),
        )
        self.follower.is_standby = lambda: not self.members.own_listed
        self.follower.on_relay_state = self._on_relay_state
        self.follower.names_own_homes = lambda state: state.region == settings.region
        self.follower.on_source_lost = self.homes.apply_lost_source
        self.homes.report_age_s = lambda: self.follower.peer_silence_s
        self.announcement = create_announcement(
            store,
            self.members.own,
            self.homes.is_home,
            self.follower.record_store_failure,
            self.replica.revision_of,
            lambda: self.candidacy.check(members_known=self.table.loaded),
        )
        self.replica.on_restored = self.announcement.on_restored
        self.permits = create_permit_exchange(
            self.dispatcher,
            self.homes,
            self.members,
            lambda addresses, message: self.exchange.send_to(addresses, message),
            self._loop.time,
        )
        self.dispatcher.warmups.calls_per_s = self._warmup_calls_per_s
        self.warmups = create_warmup_exchange(
            self.dispatcher,
            self.permits,
            self.homes,
            self.members,
            lambda addresses, message: self.exchange.send_to(addresses, message),
        )
        self.usage = create_usage_exchange(
            CapBounds(settings.cap_window_s, settings.cap_overage, settings.cap_slack),
            settings.region_by_zone,
            self.members,
            self._customer_by_name,
            lambda addresses, message: self.exchange.send_to(addresses, message),
            self.metrics.events,
        )
        self.warmups.notify_followers = self.relay.notify_followers
        self.detours = create_detours(answer_memory, dialect, self._detour_peers)
        self._find_homes_task: asyncio.Task[None] | None = None
        self._seeds_after = self._loop.time() + SEEDS_AFTER_S
        self.crashes = create_crash_table()
        self.forwarder = create_forwarder(
            self.table,
            self.dispatcher,
            self.pool,
            dialect,
            self.crashes,
            self._announce_crashes,
            self.metrics,
            self.reach,
            self.detours,
            self.usage,
            create_tail_hedging(
                self.dispatcher,
                settings.hedge_ratio,
                settings.retry_window_s,
                self.metrics.events,
                self._loop.time,
            ),
        )
        self.prober = create_reach_prober(
            self.table,
            self.dispatcher,
            self.pool,
            dialect,
            self.reach,
            self.forwarder.oldest_attempts,
        )
        self.reader = create_load_reader(
            self.table,
            self.dispatcher,
            self.pool,
            dialect,
            self.reach,
            self._is_reader_of,
            lambda: LOAD_READ_INTERVAL_S,
            self._on_reading,
        )
        self.addresses = create_address_book(self.members, self.homes, settings.address_ttl_max_s)
        self.callers = create_caller_connections(
            self.forwarder.handle,
            lambda: self.table.configuration.limits,
            int(settings.memory_mb * 1024 * 1024 * BODY_MEMORY_SHARE),
            answer_memory,
            dialect.single_request_headers,
        )
        self.peer_calls = create_caller_connections(
            self.forwarder.handle_peer,
            lambda: self.table.configuration.limits,
            int(settings.memory_mb * 1024 * 1024 * DETOUR_BODY_MEMORY_SHARE),
            answer_memory,
            dialect.single_request_headers,
        )
        self.leaving = False
        self._reported_reach = False
        self._joined = False
        self._cell_homes: list[Member] = []  # as of the last tick of the exchange
        self._rate_measured_at, self._rate_measured_calls = self._loop.time(), 0
        self._servers: list[asyncio.Server] = []
        self._expiry_timer: asyncio.TimerHandle | None = None
        self.registry.subscribe(self._on_entry)
        self.evacuations.subscribe(self.dispatcher.set_evacuated_zones)
        self._create_gauges()

    @property
    def ready(self) -> bool:
        """Return whether this instance is ready to serve callers."""
        return self.table.loaded and not self.leaving

    def find_addresses(self, region: str) -> AddressAnswer | None:
        """Return the addresses for a caller of a region, `None` while none can be named.

        Homes may be known before there is a configuration.
        """
        return None if self.leaving else self.addresses.answer(region)

    async def start(self, pages: PageHandlers) -> None:
        """Open the listeners and follow the store; addresses are answered once homes are known."""
        settings = self.settings
        log_event("starting", instance=settings.instance, incarnation=self.incarnation)
        self.pages = create_caller_connections(
            pages.handle, lambda: self.table.configuration.limits
        )
        await self._listen(settings.callers, self.callers.create_connection)
        if settings.detour_port is not None:
            address = HostPort(settings.host, settings.detour_port)
            await self._listen(address, self.peer_calls.create_connection)
        self.operator_pages = create_caller_connections(
            pages.handle_operator, lambda: self.table.configuration.limits
        )
        operator_addresses = {settings.readiness, settings.control} - {settings.addresses, None}
        for address in operator_addresses:
            await self._listen(address, self.operator_pages.create_connection)
        await self._listen(settings.addresses, self.pages.create_connection)
        channel = await create_peer_channel(settings.host, settings.peer_port, self._on_message)
        self.exchange = create_fleet_exchange(
            self.members, self.homes, self.replica, channel, self.follower
        )
        self.exchange.on_tick = self._on_tick
        self.exchange.reach_report = self._reach_report
        self.exchange.contention_evidence = self.dispatcher.contention_evidence
        self.dispatcher.on_count = lambda state: self.exchange.set_count(
            state.entry.id, state.own_in_flight
        )
        relay = await asyncio.start_server(self.relay.serve, settings.host, settings.peer_port)
        self._servers.append(relay)
        self.exchange.start()
        self.follower.start()
        self.announcement.start()
        self.prober.start()
        if not self.members.own_listed:
            self._find_homes_task = self._loop.create_task(self._find_homes())
        self._expire()
        log_event("started", callers=settings.callers)

    async def _listen(self, address: HostPort, factory: object) -> None:
        server = await self._loop.create_server(
            factory, address.host, address.port, backlog=LISTEN_BACKLOG, reuse_address=True
        )
        self._servers.append(server)

    def _on_configuration(self) -> None:
        """Apply the rules of services, and join the fleet with the first configuration."""
        self.dispatcher.warmups.apply_rules(list(self.dispatcher.states))
        if not self._joined:
            self._joined = True
            self.homes.provisional_members = []
            self.homes.own_ready = self.ready
            self._loop.call_soon(self.exchange.publish_status)

    def _warmup_calls_per_s(self, service: str) -> float:
        rules = self.table.configuration.service_by_name.get(service)
        return 0.0 if rules is None else rules.warmup_calls_per_s

    def _expire(self) -> None:
        for upstream_id in self.registry.expire(self._loop.time()):
            log_event("upstream_lapsed", upstream=upstream_id)
        self.evacuations.expire(self._loop.time())
        self._expiry_timer = self._loop.call_later(EXPIRY_INTERVAL_S, self._expire)

    def _on_entry(self, previous: UpstreamEntry | None, current: UpstreamEntry | None) -> None:
        self.dispatcher.on_entry(previous, current)
        entry = current or previous
        assert entry is not None
        self.reader.update_upstream(entry.id)
        state = "gone" if current is None else "draining" if current.draining else "ready"
        log_event(
            "upstream",
            upstream=entry.id,
            service=entry.service,
            state=state,
            revision=revision_text(entry.revision),
        )

    async def _find_homes(self) -> None:
        """Read possible homes from the store, to follow one.

        A stale read is enough: a wrong entry costs one failed attempt.
        """
        for _ in range(FIND_HOMES_ATTEMPTS):
            listing = await self._store.read_prefix(MEMBER_PREFIX, stale=True)
            if listing.is_err():
                log_event("homes_not_found", reason=listing.err_value.reason)
                self._seeds_after = self._loop.time()
            else:
                values = [item.value for item in listing.ok_value.by_key.values()]
                found = [member for member in map(decode_member, values) if member is not None]
                self.homes.provisional_members = found
                log_event("homes_looked_for", members=len(found))
            if self.members.by_id or self.homes.provisional_members:
                return
            await asyncio.sleep(FIND_HOMES_INTERVAL_S)

    def _relay_state(self) -> RelayState | None:
        """Return the state sent to followers.

        None on standby, since the homes are then known only from another relay.
        """
        if not self.members.own_listed:
            return None
        return RelayState(
            self.members.own.region,
            tuple(home.id for home in self.homes.current),
            self.follower.store_ok and self.follower.is_watcher,
            self.crashes.recent(self._loop.time()),
            self.permits.limits(),
            self.replica.gap_free,
            self.warmups.rows(),
            self.dispatcher.warmups.changes,
        )

    def _on_relay_state(self, relay_state: RelayState) -> None:
        self.homes.apply_reported_homes(relay_state.region, relay_state.home_ids)
        for report in relay_state.crashes:
            self._apply_crashes(report)
        self.permits.apply_relayed(relay_state.rate_limits)
        self.warmups.apply_relayed(relay_state.warmups)

    def _apply_crashes(self, report: CrashReport) -> None:
        now = self._loop.time()
        effect = self.crashes.apply_report(report, now)
        if effect is ReportEffect.NONE:
            return
        log_event(
            "crash_reported",
            fingerprint=report.fingerprint,
            crashes=report.crashes,
            upstreams=",".join(start.name for start in report.starts),
            effect=effect.name,
        )
        if effect is ReportEffect.REFUTED:
            self._announce_crashes(self.crashes.report(report.fingerprint, now))
        else:
            self.relay.notify_followers()

    def _on_tick(self) -> None:
        suspended_s = self.suspensions.check()
        if suspended_s:
            log_event("suspended", level="WARNING", for_s=f"{suspended_s:.2f}")
            self.forwarder.apply_suspension(suspended_s)
            self.permits.drop()
            self.warmups.apply_suspension(suspended_s)
            self.usage.drop()
            self.follower.record_store_failure("the process was suspended")
        self.homes.own_ready = self.ready
        self._measure_rate()
        self._update_cut()
        self._cell_homes = self.homes.cell_homes()
        cell, cells = self.homes.own_cell, self.homes.cells
        self.dispatcher.set_share(
            (cell, cells), lambda state: _is_in_cell(state, cell, cells), len(self._cell_homes)
        )
        self.reader.update()
        self.dispatcher.retain_peers(self.homes.live_home_ids())
        self._update_own_slack()
        self.permits.tick()
        self.warmups.tick()
        self.usage.tick()
        relay_state = self._relay_state()
        if relay_state != self._published_state:
            self._published_state = relay_state
            self.relay.notify_followers()

    def _update_own_slack(self) -> None:
        if not self.members.own_listed:
            # The number of standby instances is unknown, so none of the slack is assigned to them.
            self.dispatcher.set_own_slack(0.0)
            return
        regions = len(set(self.settings.region_by_zone.values()))
        homes = len(self.homes.current) * max(1, regions)
        members = len(self.members.by_id)
        slack = self.settings.retry_slack
        own_slack = slack_of(slack, homes, members, is_home=self.homes.is_home())
        self.dispatcher.set_own_slack(own_slack)

    def _customer_by_name(self) -> dict[str, Customer]:
        return self.table.configuration.customer_by_name or NO_CUSTOMERS

    def _measure_rate(self) -> None:
        now = self._loop.time()
        seconds = now - self._rate_measured_at
        if seconds < CALL_RATE_WINDOW_S:
            return
        seen = self.forwarder.calls_seen
        self.homes.own_calls_per_s = (seen - self._rate_measured_calls) / seconds
        self._rate_measured_at, self._rate_measured_calls = now, seen

    def _verify_rank(self) -> int | None:
        """Return this instance's rank among the store's watchers: a few homes of each region."""
        if not self.members.own_listed:
            return None
        if len(self.members.by_id) == 1:
            return 0
        if not self.homes.is_home():
            return None
        own = self.members.own
        regions = sorted(set(self.settings.region_by_zone.values()))
        home_ids = [home.id for home in self.homes.current]
        own_rank = home_ids.index(own.id) if own.id in home_ids else WATCHERS_PER_REGION
        if own_rank >= WATCHERS_PER_REGION:
            return None
        return own_rank * len(regions) + regions.index(own.region)

    def _relay_peers(self) -> list[HostPort]:
        """List the relays to follow: live homes, else candidates, else the seeds.

        Until `SEEDS_AFTER_S` after its start, an instance uses seeds only if the store fails.
        """
        hosts = self.homes.source_hosts()
        if not hosts:
            hosts = self.homes.candidate_hosts()
        if not hosts and (not self.follower.store_ok or self._loop.time() >= self._seeds_after):
            hosts = [seed.host for seed in self.settings.seeds if seed.host != self.settings.host]
        return [HostPort(host, self.settings.peer_port) for host in hosts]

    def _is_reader_of(self, state: UpstreamState) -> bool:
        """Return whether this home reads the load of an upstream.

        The reader is the cell's best home in the upstream's zone, else its best home.
        """
        if not state.preferred or not state.local_region or not self.homes.is_home():
            return False
        homes = self._cell_homes
        zone = state.entry.availability_zone
        reader = next((home for home in homes if home.availability_zone == zone), None)
        if reader is None and homes:
            reader = homes[0]
        return reader is not None and reader.id == self.members.own.id

    def _on_reading(self, state: UpstreamState, reading: LoadReading) -> None:
        self.exchange.add_reading(state.entry.id, reading)

    def _detour_peers(self, service: str, regions: Regions) -> list[HostPort]:
        port = self.settings.detour_port
        if port is None:
            return []
        peers = self.homes.peers_reaching(service, regions)
        return [HostPort(each.callers.host, port) for each in peers]

    def has_detour(self, service: str, regions: Regions) -> bool:
        """Return whether a call could be sent over a peer."""
        if self.settings.detour_port is None:
            return False
        return self.homes.has_peer_reaching(service, regions)

    def explain(self, call: ExplainedCall) -> dict[str, Any]:
        """Tell what would become of a call; changes nothing."""
        return explain_route(self, call, self._loop.time())

    def _reach_report(self) -> ReachReport | None:
        """Return what is out of reach; `None` if nothing is, and that was reported."""
        lost = tuple(sorted(self.reach.lost_services))
        if not lost and not self._reported_reach:
            return None
        self._reported_reach = bool(lost)
        return ReachReport(self.members.own.id, self.homes.own_cut, lost)

    def _on_service_lost(self, service: str) -> None:
        self.prober.probe_others(service)
        self._update_cut()
        self.dispatcher.reject_waiting(
            service,
            "the service is out of reach",
            lambda regions: self.detours.available(service, regions),
        )
        self.forwarder.recheck(service)

    def _on_service_regained(self, service: str, lost_at: float) -> None:
        self.dispatcher.forgive_failures(service, lost_at)
        self._update_cut()

    def _update_cut(self) -> None:
        """Step down as a home when cut from all upstreams, and back again, at once."""
        cut = bool(self.reach.lost_services) and self.reach.is_cut(
            {state.entry.service for state in self.dispatcher.states}
        )
        if cut != self.homes.own_cut:
            self.homes.own_cut = cut
            log_event("cut_from_upstreams" if cut else "upstreams_reached", level="WARNING")
            self.exchange.publish_status()

    def _announce_crashes(self, report: CrashReport) -> None:
        self.exchange.announce_crashes(report)
        self.relay.notify_followers()

    @singledispatchmethod
    def _on_message(self, message: PeerMessage, _sender: HostPort) -> None:
        """Handle a message of a peer by its type."""
        raise TypeError(f"no handler for {type(message).__name__}")

    @_on_message.register(HomeStatus)
    def _(self, message: HomeStatus, sender: HostPort) -> None:
        self.homes.apply_status(message, sender.host)
        self.follower.record_verified(message.verified_age_s)
        self.follower.record_revision(message.revision)

    @_on_message.register(LoadReport)
    def _(self, message: LoadReport, _sender: HostPort) -> None:
        self._apply_loads(message)

    @_on_message.register(CallCounts)
    def _(self, message: CallCounts, _sender: HostPort) -> None:
        self.dispatcher.apply_peer_counts(
            message.sender, message.count_by_id, complete=message.complete
        )

    @_on_message.register(ContentionReport)
    def _(self, message: ContentionReport, _sender: HostPort) -> None:
        self.dispatcher.apply_peer_contention(message.sender, message.evidence_by_service)

    @_on_message.register(CrashNotice)
    def _(self, message: CrashNotice, _sender: HostPort) -> None:
        self._apply_crashes(message.report)

    @_on_message.register(LeaveNotice)
    def _(self, message: LeaveNotice, _sender: HostPort) -> None:
        self.homes.apply_leave(message)
        log_event("peer_leaves", peer=message.sender)

    @_on_message.register(RateLimitReport)
    def _(self, message: RateLimitReport, _sender: HostPort) -> None:
        self.permits.apply_report(message)

    @_on_message.register(PermitRequest)
    def _(self, message: PermitRequest, sender: HostPort) -> None:
        self.permits.apply_request(message, sender)

    @_on_message.register(PermitReply)
    def _(self, message: PermitReply, _sender: HostPort) -> None:
        self.permits.apply_reply(message)

    @_on_message.register(WarmupReport)
    def _(self, message: WarmupReport, sender: HostPort) -> None:
        self.warmups.apply_report(message, sender)

    @_on_message.register(WarmupPermitRequest)
    def _(self, message: WarmupPermitRequest, sender: HostPort) -> None:
        self.warmups.apply_request(message, sender)

    @_on_message.register(WarmupPermitReply)
    def _(self, message: WarmupPermitReply, _sender: HostPort) -> None:
        self.warmups.apply_reply(message)

    @_on_message.register(UsageReport)
    def _(self, message: UsageReport, sender: HostPort) -> None:
        self.usage.apply_report(message, sender)

    @_on_message.register(UsageBalance)
    def _(self, message: UsageBalance, _sender: HostPort) -> None:
        self.usage.apply_balance(message)

    @_on_message.register(ReachReport)
    def _(self, message: ReachReport, _sender: HostPort) -> None:
        self.homes.peer_reach.apply(message)

    def _apply_loads(self, report: LoadReport) -> None:
        now = self._loop.time()
        readings = []
        for upstream_id, running, waiting, slots, slowdown, age_s in report.rows:
            state = self.dispatcher.state(upstream_id)
            if state is not None:
                reading = LoadReading(running, waiting, slots, slowdown, now - age_s)
                readings.append((state, reading))
        self.dispatcher.apply_readings(readings)

    def _create_gauges(self) -> None:
        gauges = self.metrics.gauge_reader_by_name
        gauges["configuration_version"] = lambda: self.table.configuration.version
        gauges["store_history"] = lambda: history_of(self.replica.revision)
        gauges["store_revision"] = lambda: plain_revision(self.replica.revision)
        gauges["store_ok"] = lambda: float(self.follower.store_ok)
        gauges["upstreams"] = lambda: len(self.registry.by_id)
        gauges["evacuated_zones"] = lambda: len(self.evacuations.known)
        gauges["upstreams_cold"] = lambda: len(self.dispatcher.warmups.cold)
        gauges["members"] = lambda: len(self.members.by_id)
        gauges["is_home"] = lambda: float(self.homes.is_home())
        gauges["services_out_of_reach"] = lambda: len(self.reach.lost_services)
        gauges["cap_share_owned"] = lambda: self.usage.own_share
        gauges["cap_share_lent"] = self.usage.lent
        gauges["calls_in_progress"] = self._calls_in_progress
        gauges["connections_opened"] = lambda: self.pool.opened_connections

    def apply(self, settings: EntrySettings) -> list[str]:
        """Apply changed settings and return the names of fields that need a restart."""
        held = self.settings.model_dump()
        changed = {name for name, value in settings.model_dump().items() if value != held[name]}
        applied = {name: getattr(settings, name) for name in changed & RELOADABLE_FIELDS}
        self.settings = self.settings.model_copy(update=applied)
        return sorted(changed - RELOADABLE_FIELDS)

    def _calls_in_progress(self) -> int:
        return self.callers.in_progress() + self.peer_calls.in_progress()

    def _unsent_answers(self) -> int:
        return self.callers.unsent() + self.peer_calls.unsent()

    async def leave(self) -> None:
        """Announce the departure and finish the calls in progress within the grace period."""
        if self.leaving:
            return
        self.leaving = True
        self.callers.leaving = self.peer_calls.leaving = True
        self.homes.own_leaving = True
        self.exchange.announce_leave()
        began = self._loop.time()
        log_event("leaving", in_progress=self._calls_in_progress())
        leave = self._loop.create_task(self.announcement.leave())
        end = began + self.settings.grace_s - FINAL_ANSWERS_S
        self.forwarder.end_at(end)
        idle_since = began
        while (now := self._loop.time()) < end:
            if now - began >= min(REJECT_AFTER_S, self.settings.grace_s / 2):
                self.forwarder.rejects_calls = True
            self.forwarder.instance_end.refuse_late_bodies()
            if self._calls_in_progress() or self._unsent_answers():
                idle_since = now
            if now - began >= MIN_LEAVE_S and now - idle_since >= IDLE_BEFORE_END_S:
                break
            await asyncio.sleep(LEAVE_POLL_INTERVAL_S)
        for server in self._servers:
            server.close()
        self.callers.close_idle()
        self.peer_calls.close_idle()
        leave.cancel()
        log_event("left", in_progress=self._calls_in_progress(), unsent=self._unsent_answers())

    async def stop(self) -> None:
        """Stop all parts and close the store."""
        if self._find_homes_task is not None:
            self._find_homes_task.cancel()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self.reader.stop()
        self.prober.stop()
        self.callers.stop()
        self.peer_calls.stop()
        self.detours.close()
        self.pages.stop()
        self.operator_pages.stop()
        self.pool.close()
        self.warmups.stop()
        self.exchange.stop()
        await self.follower.stop()
        await self._store.close()
        log_event("stopped")


def _is_in_cell(state: UpstreamState, cell: int, cells: int) -> bool:
    if cells == 1:
        return True
    return state.local_region and cell_of_upstream(state.entry.id, cells) == cell


def create_entry_service(
    settings: EntrySettings, store: Store, decoder: Decoder, dialect: Dialect
) -> EntryService:
    """Create an entry instance; must be called inside the running loop."""
    return EntryService(settings, store, decoder, dialect)
