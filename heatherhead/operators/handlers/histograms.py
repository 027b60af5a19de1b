"""Handler of `Histograms`: list histograms and outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.handlers.requests import (
    collect_page,
    iterate_cooperatively,
    receive_request,
)
from heatherhead.operators.heatherhead_grpc import HistogramsBase
from heatherhead.operators.messages import to_message
from heatherhead.telemetry.interface import OutcomeReading

if TYPE_CHECKING:
    from grpclib.server import Stream

    from heatherhead.operators.parts import DaemonParts
    from heatherhead.telemetry.interface import HistogramKey

__all__ = ["HistogramsHandler"]


class HistogramsHandler(HistogramsBase):
    """Answers from the telemetry recorded on this instance."""

    def __init__(self, parts: DaemonParts) -> None:
        self._telemetry = parts.telemetry
        self._membership = parts.membership

    async def List(self, stream: Stream[pb.ListHistogramsRequest, pb.ListHistogramsReply]) -> None:
        """List histograms and outcomes page by page; a service is never split between pages."""
        request = await receive_request(stream)
        service = request.service or None
        outcomes_by_service: dict[str, list[OutcomeReading]] = {}
        for outcome in self._telemetry.outcomes(service):
            outcomes_by_service.setdefault(outcome.service, []).append(outcome)
        keys_by_service: dict[str, list[HistogramKey]] = {}
        for key in self._telemetry.histogram_keys(service):
            keys_by_service.setdefault(key[0], []).append(key)
        items, token = await collect_page(
            keys_by_service.keys() | outcomes_by_service.keys(),
            request.page_token,
            lambda name: [*keys_by_service.get(name, ()), *outcomes_by_service.get(name, ())],
        )
        reply = pb.ListHistogramsReply(next_page_token=token, instance_id=self._membership.own.id)
        async for item in iterate_cooperatively(items):
            if isinstance(item, OutcomeReading):
                reply.outcomes.append(to_message(item))
            else:
                reading = self._telemetry.histogram(item, encoded=request.encoded)
                reply.histograms.append(to_message(reading))
        await stream.send_message(reply)
