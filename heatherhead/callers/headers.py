"""Names of the HTTP headers that heatherhead reads, sets or removes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict, istr

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

__all__ = [
    "CALL_CLASS",
    "DEADLINE_MS",
    "DRAINING",
    "IDEMPOTENCY_KEY",
    "LOAD",
    "NO_RETRY",
    "NOT_RUN",
    "FORWARDED_BY",
    "REPLAYED",
    "SERVER_NAME",
    "SERVICE",
    "TENANT",
    "end_to_end_headers",
]

DEADLINE_MS = istr("Heatherhead-Deadline-Ms")  # milliseconds left; from callers, to upstreams
CALL_CLASS = istr("Heatherhead-Class")  # class of the call; from callers
TENANT = istr("Heatherhead-Tenant")  # tenant of the call; from callers
SERVICE = istr("Heatherhead-Service")  # name of the service; to upstreams
FORWARDED_BY = istr("Heatherhead-Passed-On")  # id of the instance that forwarded the call
NOT_RUN = istr("Heatherhead-Not-Run")  # "true": the call did not run and will not run
NO_RETRY = istr("Heatherhead-No-Retry")  # "true": a layer closer to the failure has retried
DRAINING = istr("Heatherhead-Draining")  # "true": the upstream is draining
LOAD = istr("Heatherhead-Load")  # calls in flight, as reported by the upstream
REPLAYED = istr("Heatherhead-Replayed")  # "true": recorded for an earlier request with the key
IDEMPOTENCY_KEY = istr("Idempotency-Key")
SERVER_NAME = "heatherhead"  # set explicitly, since aiohttp would otherwise send its own version

_HOP_BY_HOP_HEADERS = (
    istr("Connection"),
    istr("Keep-Alive"),
    istr("Proxy-Authenticate"),
    istr("Proxy-Authorization"),
    istr("Proxy-Connection"),
    istr("TE"),
    istr("Trailer"),
    istr("Transfer-Encoding"),
    istr("Upgrade"),
)


def end_to_end_headers(
    headers: CIMultiDictProxy[str], also_stripped: tuple[istr, ...] = ()
) -> CIMultiDict[str]:
    """Copy headers without the hop-by-hop ones (RFC 9110, section 7.6.1) and `also_stripped`."""
    kept = CIMultiDict(headers)
    connection = headers.get("Connection")
    if connection is not None:
        for name in connection.split(","):
            kept.popall(name.strip(), None)
    for name in _HOP_BY_HOP_HEADERS:
        kept.popall(name, None)
    for name in also_stripped:
        kept.popall(name, None)
    return kept
