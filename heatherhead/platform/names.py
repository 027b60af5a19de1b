"""Header names of the platform's protocol."""

from __future__ import annotations

__all__ = [
    "AUTHORIZATION",
    "CUSTOMER",
    "DEADLINE_MS",
    "EXPECT_UPSTREAM",
    "LEAVING",
    "LOAD",
    "NOT_RUN",
    "RATE_LIMIT",
    "REQUEST_ID",
    "RETRY_AFTER",
    "STAMP",
    "STORE_HISTORY",
    "UPSTREAM_ID",
    "WARMUP_LEFT_MS",
]

REQUEST_ID = "X-Heatherhead-Request-Id"
DEADLINE_MS = "X-Heatherhead-Deadline-Ms"
STAMP = "X-Heatherhead-Server-Stamp"  # opaque; proves that the upstream itself sent the answer
EXPECT_UPSTREAM = "X-Heatherhead-Expect-Instance"  # an upstream's id, not an instance's
UPSTREAM_ID = "X-Heatherhead-Instance-Id"  # also an upstream's id
LOAD = "X-Heatherhead-Server-Load"
RATE_LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"  # "1" in all answers of an upstream that leaves
RETRY_AFTER = "Retry-After"  # seconds, beside 503
STORE_HISTORY = "Store-Era"  # in the store's answers; rises when it comes back from a copy
NOT_RUN = "X-Heatherhead-Not-Executed"
AUTHORIZATION = "Authorization"  # "Token KEY" of a caller
CUSTOMER = "X-Heatherhead-Tenant"  # the name of the customer that holds the caller's key
WARMUP_LEFT_MS = "X-Heatherhead-Warmup-Ms"  # in health answers: for how long it stays cold
