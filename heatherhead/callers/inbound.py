"""A call together with the HTTP request that brought it."""

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
    """A call on its way in; `deadline_asked` tells whether the caller named its deadline.

    A deadline that the caller named covers the whole exchange. The service's default one covers
    the time to the head of the answer, and stands still while an upload is streamed: uploads and
    answers that flow are bounded by their idle timeouts instead.

    `passed_on` tells that the instance which issued the call's grant serves and counts it.
    """

    request: BaseRequest
    service: Service
    call: Call
    deadline_asked: bool
    body: CallBody = field(default_factory=CallBody)
    key: CallKey | None = None
    run: CallRun | None = None
    maybe_ran_before: bool = False
    reached_key_table: bool = False
    passed_on: bool = False
    scope: asyncio.Timeout | None = None

    @property
    def maybe_ran(self) -> bool:
        """Tell whether an upstream may have seen the call, now or under an earlier send."""
        return self.maybe_ran_before or (self.run is not None and self.run.maybe_ran)

    def loosen_for_upload(self) -> None:
        """Let a streamed upload take its time, and the answer the default time after it."""
        stream = self.body.stream
        if self.deadline_asked or stream is None:
            return
        loop = asyncio.get_running_loop()
        default_s = self.service.default_deadline_ms / 1000
        stream.on_start = lambda: self._reschedule(None)
        stream.on_end = lambda: self._reschedule(loop.time() + default_s)

    def loosen_for_answer(self) -> None:
        """Let a streamed answer take its time once its head is there."""
        if not self.deadline_asked:
            self._reschedule(None)
            if self.body.stream is not None:
                self.body.stream.on_end = None

    def _reschedule(self, when: float | None) -> None:
        if self.scope is not None and not self.scope.expired():
            self.scope.reschedule(when)
