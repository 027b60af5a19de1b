"""A call together with the HTTP request it was parsed from."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heatherhead.callers.bodies import CallBody

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest

    from heatherhead.admission.grants import CallKey
    from heatherhead.calls import Call
    from heatherhead.configuration.model import Service
    from heatherhead.upstreams.attempts import CallRun

__all__ = ["InboundCall"]


@dataclass(slots=True)
class InboundCall:
    """A received call and the state of its handling.

    `deadline_requested` is set if the caller sent a deadline, which then covers the whole
    exchange. The default deadline of the service covers only the time to the head of the answer
    and is suspended while an upload is streamed; streamed uploads and answers are bounded by
    their idle timeouts instead.

    `forwarded` is set once the instance that issued the call's grant has answered the call; that
    instance also counts its outcome. `may_have_run_elsewhere` is set if an earlier request with the
    same key, or the instance that the call is forwarded to, may have run it.
    `reached_key_table` is set once the grant and the key of the call are looked up.
    """

    request: BaseRequest
    service: Service
    call: Call
    deadline_requested: bool
    body: CallBody = field(default_factory=CallBody)
    key: CallKey | None = None
    run: CallRun | None = None
    may_have_run_elsewhere: bool = False
    reached_key_table: bool = False
    forwarded: bool = False
    deadline_scope: asyncio.Timeout | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run the call, here or elsewhere."""
        return self.may_have_run_elsewhere or (self.run is not None and self.run.may_have_run)

    def suspend_deadline_for_upload(self) -> None:
        """Suspend the default deadline during a streamed upload.

        It restarts in full at the end of the upload.
        """
        stream = self.body.stream
        if self.deadline_requested or stream is None:
            return
        loop = asyncio.get_running_loop()
        default_s = self.service.default_deadline_ms / 1000
        stream.on_start = lambda: self._reschedule(None)
        stream.on_end = lambda: self._reschedule(loop.time() + default_s)

    def lift_deadline_for_answer(self) -> None:
        """Remove the default deadline once the head of a streamed answer has arrived."""
        if not self.deadline_requested:
            self._reschedule(None)
            if self.body.stream is not None:
                self.body.stream.on_end = None

    def _reschedule(self, when: float | None) -> None:
        if self.deadline_scope is not None and not self.deadline_scope.expired():
            self.deadline_scope.reschedule(when)
