"""A caller's request with its body, and the answer to it."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

from multidict import CIMultiDict, CIMultiDictProxy

if TYPE_CHECKING:
    from heatherhead.proxy.answer_memory import HeldAnswer

__all__ = ["Answer", "HttpRequest", "end_to_end_headers", "own_answer", "request_bytes"]

# Hop-by-hop headers (RFC 9110, 7.6.1), and the framing headers, which are set anew.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


@dataclass(slots=True)
class HttpRequest:
    """A caller's request with its complete body."""

    method: str
    target: str
    headers: CIMultiDictProxy[str]
    body: bytes
    received_at: float


@dataclass(slots=True)
class Answer:
    """An answer with its complete body; `close` closes the caller's connection after it."""

    status: int
    headers: CIMultiDict[str] = field(default_factory=CIMultiDict)
    body: bytes = b""
    reason: str = ""
    close: bool = False
    length: int | None = None  # Content-Length of an answer to HEAD, which has no body
    held: HeldAnswer | None = None  # the memory of an upstream's answer

    @property
    def is_own(self) -> bool:
        """Return whether heatherhead itself generated the answer."""
        return self.held is None


def end_to_end_headers(headers: CIMultiDictProxy[str] | CIMultiDict[str]) -> CIMultiDict[str]:
    """Copy the headers without those that concern a single connection."""
    dropped_names = HOP_BY_HOP_HEADERS
    for value in headers.getall("Connection", ()):
        dropped_names = dropped_names | {name.strip().lower() for name in value.split(",")}
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped_names
    )


def request_bytes(request: HttpRequest, headers: CIMultiDict[str]) -> bytes:
    """Encode a request with other headers than the caller's; sets the length of its body."""
    if (
        request.body
        or "Content-Length" in request.headers
        or "Transfer-Encoding" in request.headers
    ):
        headers["Content-Length"] = str(len(request.body))
    lines = [f"{request.method} {request.target} HTTP/1.1\r\n"]
    lines.extend(f"{name}: {value}\r\n" for name, value in headers.items())
    lines.append("\r\n")
    return "".join(lines).encode("utf-8", "surrogateescape") + request.body


def own_answer(
    status: int, reason: str, *, retry_after_s: float | None = None, close: bool = False
) -> Answer:
    """Build an answer that heatherhead itself generates; `reason` becomes its body."""
    headers: CIMultiDict[str] = CIMultiDict({"Content-Type": "text/plain; charset=utf-8"})
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.3f}"
    body = reason.encode() + b"\n"
    return Answer(status, headers, body, HTTPStatus(status).phrase, close)
