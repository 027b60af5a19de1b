"""A call as it was read, and the answer to it."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

from multidict import CIMultiDict, CIMultiDictProxy

__all__ = ["Answer", "HttpCall", "end_to_end", "own_answer"]

# Headers that concern a single connection (RFC 9110, 7.6.1), and the framing, which is set anew.
HOP_BY_HOP = frozenset(
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
class HttpCall:
    """A caller's request with its whole body."""

    method: str
    target: str
    headers: CIMultiDictProxy[str]
    body: bytes
    received_at: float


@dataclass(slots=True)
class Answer:
    """An answer with its whole body; `close` ends the caller's connection after it."""

    status: int
    headers: CIMultiDict[str] = field(default_factory=CIMultiDict)
    body: bytes = b""
    reason: str = ""
    close: bool = False
    length: int | None = None  # of the body that a HEAD answer stands for


def end_to_end(headers: CIMultiDictProxy[str] | CIMultiDict[str]) -> CIMultiDict[str]:
    """Copy the headers that are passed on."""
    dropped = HOP_BY_HOP
    for value in headers.getall("Connection", ()):
        dropped = dropped | {name.strip().lower() for name in value.split(",")}
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


def own_answer(
    status: int, reason: str, *, retry_after_s: float | None = None, close: bool = False
) -> Answer:
    """Build an answer of heatherhead's own; `reason` says what the caller can do."""
    headers: CIMultiDict[str] = CIMultiDict({"Content-Type": "text/plain; charset=utf-8"})
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.3f}"
    body = reason.encode() + b"\n"
    return Answer(status, headers, body, HTTPStatus(status).phrase, close)
