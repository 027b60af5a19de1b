"""Header names of the platform's wire."""

from __future__ import annotations

__all__ = [
    "DEADLINE_MS",
    "EXPECT_UPSTREAM",
    "LOAD",
    "NOT_RUN",
    "REQUEST_ID",
    "STAMP",
    "UPSTREAM_ID",
]

REQUEST_ID = "X-Heatherhead-Request-Id"
DEADLINE_MS = "X-Heatherhead-Deadline-Ms"
STAMP = "X-Heatherhead-Server-Stamp"  # proof of the upstream, opaque
EXPECT_UPSTREAM = "X-Heatherhead-Expect-Instance"  # names an upstream, not one of our instances
UPSTREAM_ID = "X-Heatherhead-Instance-Id"  # likewise the upstream's id
LOAD = "X-Heatherhead-Server-Load"
NOT_RUN = "X-Heatherhead-Not-Executed"
