"""Stateful tests of operators, the store, watchers and instances under injected faults.

Rules have the names of the moves of `spec.configuration` where it has them. Answers, replicas and
readiness are checked against the store's own history.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from heatherhead.configuration.documents import decode_record
from heatherhead.exceptions import ConflictError
from heatherhead.tests.base import PausedClockLoop
from heatherhead.tests.configuration.fleet import create_configuration_fleet, service
from heatherhead.tests.membership.fleet import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from heatherhead.configuration.model import ServiceRecord

NAMES = ["orders", "photos"]
PLACES = {"i0-0-0": "r0", "i0-0-1": "r0", "i1-0-0": "r1", "i1-0-1": "r1"}
NEW_ID = "new"
ASK_TIMEOUT_S = 60.0
CONVERGENCE_S = 300.0

instance_ids = st.sampled_from([*PLACES, NEW_ID])


@dataclass(slots=True)
class Change:
    """A change that an operator requested, and the answers to it."""

    id: str
    name: str
    queue_limit: int | None
    expected_revision: int
    accepted_revisions: set[int] = field(default_factory=set)
    has_conflicted: bool = False


class ConfigurationMachine(RuleBasedStateMachine):
    """Requests changes and injects faults in any order."""

    @initialize()
    def start_fleet(self) -> None:
        """Start two regions of two instances each."""
        self.loop = PausedClockLoop()
        asyncio.set_event_loop(self.loop)
        self.changes: list[Change] = []
        self.fleet = self._run(self._create_fleet())
        self.paused: str | None = None
        self.floor_by_start: dict[int, int] = {}
        self.recorded: dict[int, ServiceRecord] = {}

    @rule(
        at=instance_ids,
        name=st.sampled_from(NAMES),
        is_deletion=st.booleans(),
        is_stale=st.booleans(),
    )
    def ask(self, at: str, name: str, is_deletion: bool, is_stale: bool) -> None:
        """Request a new change, with a revision that the operator has seen."""
        held = [
            replica.by_name[name].revision
            for replica in self.fleet.replica_by_id.values()
            if name in replica.by_name
        ]
        expected = (min(held) if is_stale else max(held)) if held else 0
        number = len(self.changes) + 1
        limit = None if is_deletion else 100 + number
        change = Change(f"c{number}", name, limit, expected)
        self.changes.append(change)
        self._ask(at, change)

    @precondition(lambda self: self.changes)
    @rule(at=instance_ids, data=st.data())
    def ask_again(self, at: str, data: st.DataObject) -> None:
        """Repeat an earlier request, perhaps at another instance."""
        self._ask(at, data.draw(st.sampled_from(self.changes)))

    @rule()
    def stop_store(self) -> None:
        """Make the store unavailable."""
        self.fleet.set_store_down(True)

    @rule()
    def start_store(self) -> None:
        """Make the store available again."""
        self.fleet.set_store_down(False)

    @rule(at=instance_ids, count=st.integers(1, 5), is_late=st.booleans())
    def lose_replies(self, at: str, count: int, is_late: bool) -> None:
        """Lose the replies to the next writes of an instance; late writes are also delayed."""
        faulty_store = self.fleet.faulty_store_by_id.get(at)
        if faulty_store is not None and is_late:
            faulty_store.late_writes = count
        elif faulty_store is not None:
            faulty_store.replies_to_lose = count

    @rule()
    def compact(self) -> None:
        """Compact the store's history."""
        self._record_history()
        self.fleet.store.compact(self.fleet.store.revision)

    @rule(lost=st.sampled_from([["i0-0-0", "i0-0-1"], ["i1-0-1"], ["i0-0-0", "i1-0-0"]]))
    def cut(self, lost: list[str]) -> None:
        """Partition some instances from the others."""
        others = [each for each in [*PLACES, NEW_ID] if each not in lost]
        self._call_in_loop(self.fleet.members.hub.cut, lost, others)

    @rule()
    def heal(self) -> None:
        """Heal all partitions."""
        self._call_in_loop(self.fleet.members.hub.heal)

    @precondition(lambda self: self.paused is None)
    @rule(at=instance_ids)
    def pause(self, at: str) -> None:
        """Pause an instance: messages to it are held back until it resumes."""
        if at in self.fleet.configuration_by_id:
            self.paused = at
            self._call_in_loop(self.fleet.members.hub.pause, at)

    @precondition(lambda self: self.paused is not None)
    @rule()
    def resume(self) -> None:
        """Resume the paused instance and deliver the messages held back."""
        self._call_in_loop(self.fleet.members.hub.resume, self.paused)
        self.paused = None

    @rule(at=instance_ids)
    def start_instance(self, at: str) -> None:
        """Start an instance, or restart it with an empty replica."""
        if at == self.paused:
            self.resume()
        self._run(self._restart(at))

    @rule(seconds=st.sampled_from([0.05, 1.0, 6.0, 30.0]))
    def advance_clock(self, seconds: float) -> None:
        """Run the loop for some time."""
        self._run(asyncio.sleep(seconds))

    @rule(seconds=st.sampled_from([2.0, 20.0]))
    def jump_clock(self, seconds: float) -> None:
        """Advance the clock without running any instance, as when the machine is suspended."""
        self.loop.advance(seconds)
        self._run(asyncio.sleep(0.01))

    @invariant()
    def nothing_reverts(self) -> None:
        """No instance reverts to an older revision of a service."""
        assert self.fleet.reverts == []

    @invariant()
    def each_change_is_applied_once_and_answered_correctly(self) -> None:
        """Answers agree with the store's history, which contains each change at most once."""
        self._record_history()
        revisions_by_id: dict[str, set[int]] = {}
        for record in self.recorded.values():
            revisions_by_id.setdefault(record.change_id, set()).add(record.revision)
        for change in self.changes:
            applied = revisions_by_id.get(change.id, set())
            assert len(applied) <= 1
            assert change.accepted_revisions <= applied
            assert not (change.has_conflicted and applied)

    @invariant()
    def replicas_hold_what_the_store_held(self) -> None:
        """Every applied record was written to the store at its revision."""
        for replica in self.fleet.replica_by_id.values():
            for record in replica.by_name.values():
                assert self.recorded[record.revision] == record

    @invariant()
    def applied_revision_is_in_force(self) -> None:
        """An instance that reports an applied revision holds every change up to it."""
        instances = self.fleet.configuration_by_id.items()
        for instance_id, configuration in instances:
            applied = configuration.table.applied
            by_name = self.fleet.replica_by_id[instance_id].by_name
            for record in self.recorded.values():
                if record.revision <= applied:
                    assert record.name in by_name
                    assert by_name[record.name].revision >= record.revision

    @invariant()
    def ready_instances_are_not_older_than_all_others_were(self) -> None:
        """A new instance is not ready below the lowest revision that was applied at its start."""
        for instance_id, configuration in self.fleet.configuration_by_id.items():
            if configuration.ready.is_set():
                floor = self.floor_by_start.get(id(configuration), -1)
                assert configuration.table.applied >= floor, instance_id

    def teardown(self) -> None:
        """Remove all faults and check that every instance converges to the store's content."""
        if not hasattr(self, "fleet"):
            return
        try:
            if self.paused is not None:
                self.resume()
            self.heal()
            self.start_store()
            self._run(wait_until(self._is_converged, CONVERGENCE_S))
            self.nothing_reverts()
            self.each_change_is_applied_once_and_answered_correctly()
        finally:
            self._run(self.fleet.stop())
            self.loop.close()
            asyncio.set_event_loop(None)

    def _ask(self, at: str, change: Change) -> None:
        configuration = self.fleet.configuration_by_id.get(at)
        if configuration is None:
            return
        asking: Coroutine[Any, Any, Any]
        if change.queue_limit is None:
            asking = configuration.delete(change.name, change.expected_revision, change.id)
        else:
            wanted = service(change.name, change.queue_limit)
            asking = configuration.put(wanted, change.expected_revision, change.id)
        answer = self._run(asyncio.wait_for(asking, ASK_TIMEOUT_S))
        if answer.is_ok():
            change.accepted_revisions.add(answer.ok_value.revision)
        elif isinstance(answer.err_value, ConflictError):
            change.has_conflicted = True

    def _record_history(self) -> None:
        """Record the store's history, as it may be compacted."""
        for event in self.fleet.store.events_from(0):
            if event.mod_revision not in self.recorded and event.value is not None:
                record = decode_record(event.value, event.mod_revision)
                self.recorded[event.mod_revision] = record

    def _is_converged(self) -> bool:
        revision_by_name = {
            decode_record(each.value, each.mod_revision).name: each.mod_revision
            for each in self.fleet.store.by_key.values()
        }
        replicas = self.fleet.replica_by_id.values()
        are_equal = all(
            {name: record.revision for name, record in each.by_name.items()} == revision_by_name
            for each in replicas
        )
        newest = max(revision_by_name.values(), default=0)
        configurations = self.fleet.configuration_by_id.values()
        return are_equal and all(
            each.ready.is_set() and each.missing(newest) == [] for each in configurations
        )

    async def _create_fleet(self) -> Any:
        fleet = create_configuration_fleet()
        for instance_id, region in PLACES.items():
            await fleet.start(instance_id, region, f"{region}z")
        await wait_until(lambda: all(map(fleet.is_ready, PLACES)))
        return fleet

    async def _restart(self, at: str) -> None:
        if at in self.fleet.configuration_by_id:
            await self.fleet.crash(at)
        serving = [each for each in self.fleet.configuration_by_id.values() if each.ready.is_set()]
        region = PLACES.get(at, "r0")
        started = await self.fleet.start(at, region, f"{region}z")
        self.floor_by_start[id(started)] = min((each.table.applied for each in serving), default=-1)

    def _call_in_loop(self, function: Callable[..., None], *arguments: object) -> None:
        """Call a function inside the running loop."""

        async def call() -> None:
            function(*arguments)

        self._run(call())

    def _run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(coroutine)


ConfigurationMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=30)
TestConfigurationMachine = ConfigurationMachine.TestCase
