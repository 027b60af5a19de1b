"""Histograms: list."""

from __future__ import annotations

from itertools import groupby
from typing import TYPE_CHECKING

from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.handlers.requests import page_of, receive
from heatherhead.operators.heatherhead_grpc import HistogramsBase
from heatherhead.operators.messages import to_message

if TYPE_CHECKING:
    from grpclib.server import Stream

    from heatherhead.operators.backend import Backend

__all__ = ["HistogramsHandler"]


class HistogramsHandler(HistogramsBase):
    """Shows what telemetry has recorded on this instance."""

    def __init__(self, backend: Backend) -> None:
        self._telemetry = backend.telemetry
        self._membership = backend.membership

    async def List(self, stream: Stream[pb.ListHistogramsRequest, pb.ListHistogramsReply]) -> None:
        """List histograms page by page, a service never divided."""
        request = await receive(stream)
        readings = self._telemetry.histograms(request.service or None, encoded=request.encoded)
        readings_by_service = {
            service: list(group) for service, group in groupby(readings, lambda each: each.service)
        }
        histograms, token = page_of(
            readings_by_service,
            request.page_token,
            lambda service: [to_message(each) for each in readings_by_service[service]],
        )
        await stream.send_message(
            pb.ListHistogramsReply(
                histograms=histograms,
                next_page_token=token,
                instance_id=self._membership.own.id,
            )
        )
