"""Keeps this instance's announcement in the store under a lease."""

from __future__ import annotations

import asyncio
from random import random
from typing import TYPE_CHECKING

from result import Err, Ok

from heatherhead.backoff import create_backoff
from heatherhead.fleet.members import MEMBER_PREFIX
from heatherhead.store.errors import LeaseExpiredError
from heatherhead.store.history import revision_text
from heatherhead.supervision import run_supervised
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from heatherhead.exceptions import HeatherheadError
    from heatherhead.fleet.members import Member
    from heatherhead.store.interface import Store, StoreLease

__all__ = ["Announcement", "create_announcement"]

LEASE_S = 20.0  # bounds how long a lost instance's key stays; peers exclude silent homes earlier
RENEW_INTERVAL_S = 6.0  # two renewals may fail before the lease expires
HOME_RENEW_INTERVAL_S = 1.0  # a home's renewals also detect a store outage while its watch is idle
START_DELAY_S = 0.15  # the first read has then returned the revision of an earlier start's key
CANDIDACY_CHECK_INTERVAL_S = 0.5  # a standby instance re-checks its candidacy
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
LEAVE_TIMEOUT_S = 1.0
RESTORED_SPREAD_S = 0.5  # all instances write at once after the store came back from a copy


class Announcement:
    """Writes, renews and removes this instance's announcement."""

    def __init__(
        self,
        store: Store,
        member: Member,
        is_home: Callable[[], bool],
        on_failure: Callable[[str], None],
        revision_of: Callable[[str], int],
        is_candidate: Callable[[], bool],
    ) -> None:
        self._is_candidate = is_candidate
        self._store = store
        self._revision_of = revision_of
        self._is_home = is_home
        self._on_failure = on_failure
        self._member = member
        self._key = MEMBER_PREFIX + member.id
        self._lease_id: int | None = None  # also of a write that got no answer
        self._announced = False
        self._revision = 0
        self._backoff = create_backoff(INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self._restored = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that writes the announcement and renews its lease."""
        self._task = asyncio.get_running_loop().create_task(
            run_supervised("announcement", self._maintain)
        )

    async def _maintain(self) -> None:
        await asyncio.sleep(START_DELAY_S)
        while True:
            if not self._is_candidate():
                await asyncio.sleep(CANDIDACY_CHECK_INTERVAL_S)
                continue
            done = await (self._renew() if self._announced else self._announce())
            if isinstance(done, Err):
                if isinstance(done.err_value, LeaseExpiredError):
                    self._forget_lease()
                else:
                    self._on_failure(done.err_value.reason)
                log_event("announcement_failed", reason=done.err_value.reason)
                await asyncio.sleep(self._backoff.next_delay_s())
            else:
                self._backoff.reset()
                await self._wait_for_renewal()

    async def _wait_for_renewal(self) -> None:
        """Wait until the lease is to be renewed, or the store has come back from a copy."""
        try:
            async with asyncio.timeout(
                HOME_RENEW_INTERVAL_S if self._is_home() else RENEW_INTERVAL_S
            ):
                await self._restored.wait()
        except TimeoutError:
            return
        await asyncio.sleep(RESTORED_SPREAD_S * random())
        self._restored.clear()
        if not self._revision_of(self._key):
            log_event("announcement_lost", key=self._key)
            self._forget_lease()

    def _forget_lease(self) -> None:
        self._lease_id = None
        self._announced = False

    def on_restored(self) -> None:
        """Renew the lease at once, and announce again if the store has lost the announcement."""
        self._restored.set()

    async def _announce(self) -> Result[None, HeatherheadError]:
        leased = await self._lease()
        if isinstance(leased, Err):
            return leased
        lease_id = self._lease_id = leased.ok_value.id
        value = self._member.encode()
        self._revision = max(self._revision, self._revision_of(self._key))
        # The key of an earlier start may still exist; the first try then returns its revision.
        for _ in range(2):
            written = await self._store.compare_and_swap(self._key, self._revision, value, lease_id)
            if isinstance(written, Err):
                return written
            self._revision = written.ok_value.revision
            if written.ok_value.succeeded:
                self._announced = True
                log_event("announced", revision=revision_text(self._revision))
                return Ok(None)
        return Ok(None)

    async def _lease(self) -> Result[StoreLease, HeatherheadError]:
        """Renew the lease of a write that got no answer, or request one."""
        if self._lease_id is not None:
            return await self._store.renew_lease(self._lease_id)
        return await self._store.grant_lease(LEASE_S)

    async def _renew(self) -> Result[None, HeatherheadError]:
        assert self._lease_id is not None
        kept = await self._store.renew_lease(self._lease_id)
        return kept if isinstance(kept, Err) else Ok(None)

    async def leave(self) -> None:
        """Remove the announcement by revoking its lease, if the store answers in time."""
        if self._task is not None:
            self._task.cancel()
        if self._lease_id is None:
            return
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._store.revoke_lease(self._lease_id)
        except TimeoutError:
            log_event("leave_not_stored", remedy="the lease expires by itself")


def create_announcement(
    store: Store,
    member: Member,
    is_home: Callable[[], bool],
    on_failure: Callable[[str], None],
    revision_of: Callable[[str], int],
    is_candidate: Callable[[], bool] = lambda: True,
) -> Announcement:
    """Create the announcement of an instance; it is written once `is_candidate` returns true.

    `on_failure` is called with the reason of each failed store call. `revision_of` returns the
    revision at which a key is known, or 0: an earlier start of the instance may have left its key.
    """
    return Announcement(store, member, is_home, on_failure, revision_of, is_candidate)
