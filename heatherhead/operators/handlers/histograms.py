"""Histograms and outcomes: list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.handlers.requests import page_of, receive
from heatherhead.operators.heatherhead_grpc import HistogramsBase
from heatherhead.operators.messages import to_message

if TYPE_CHECKING:
    from grpclib.server import Stream

    from heatherhead.operators.backend import Backend
    from heatherhead.telemetry.interface import HistogramReading, OutcomeReading

__all__ = ["HistogramsHandler"]


class HistogramsHandler(HistogramsBase):
    """Shows what telemetry has recorded on this instance."""

    def __init__(self, backend: Backend) -> None:
        self._telemetry = backend.telemetry
        self._membership = backend.membership

    async def List(self, stream: Stream[pb.ListHistogramsRequest, pb.ListHistogramsReply]) -> None:
        """List histograms page by page, a service never divided."""
        request = await receive(stream)
        service = request.service or None
        readings_by_service: dict[str, list[HistogramReading | OutcomeReading]] = {}
        for reading in (
            *self._telemetry.histograms(service, encoded=request.encoded),
            *self._telemetry.outcomes(service),
        ):
            readings_by_service.setdefault(reading.service, []).append(reading)
        messages, token = page_of(
            readings_by_service,
            request.page_token,
            lambda name: [to_message(each) for each in readings_by_service[name]],
        )
        await stream.send_message(
            pb.ListHistogramsReply(
                histograms=[each for each in messages if isinstance(each, pb.Histogram)],
                outcomes=[each for each in messages if isinstance(each, pb.OutcomeCount)],
                next_page_token=token,
                instance_id=self._membership.own.id,
            )
        )
