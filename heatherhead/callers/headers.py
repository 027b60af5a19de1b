"""Names of the HTTP headers that heatherhead reads, writes and strips."""

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
    "PASSED_ON",
    "REPLAYED",
    "SERVER_NAME",
    "SERVICE",
    "TENANT",
    "end_to_end_headers",
]

DEADLINE_MS = istr("Heatherhead-Deadline-Ms")  # milliseconds left, from callers and to upstreams
CALL_CLASS = istr("Heatherhead-Class")  # class of the call, from callers
TENANT = istr("Heatherhead-Tenant")  # tenant of the call, from callers
SERVICE = istr("Heatherhead-Service")  # name of the service, to upstreams
PASSED_ON = istr("Heatherhead-Passed-On")  # id of the instance that passed the call on
NOT_RUN = istr("Heatherhead-Not-Run")  # "true": the call was not run and will not be
NO_RETRY = istr("Heatherhead-No-Retry")  # "true": a layer nearer to the failure has retried
DRAINING = istr("Heatherhead-Draining")  # "true": the upstream is leaving
LOAD = istr("Heatherhead-Load")  # calls in flight, as the upstream says
REPLAYED = istr("Heatherhead-Replayed")  # "true": the recorded answer of an earlier send
IDEMPOTENCY_KEY = istr("Idempotency-Key")
SERVER_NAME = "heatherhead"  # without a Server header the library would tell its own version

_HOP_BY_HOP = (
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
    """Copy headers without those of one connection (RFC 9110, section 7.6.1)."""
    kept = CIMultiDict(headers)
    named = headers.get("Connection")
    if named is not None:
        for name in named.split(","):
            kept.popall(name.strip(), None)
    for name in _HOP_BY_HOP:
        kept.popall(name, None)
    for name in also_stripped:
        kept.popall(name, None)
    return kept
