"""Tests of keyed calls that are refused before their key is looked up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.tests.callers.fakes import run_with_shifted_clock, running_instance

if TYPE_CHECKING:
    from heatherhead.tests.callers.fakes import InstanceHarness

BAD_DEADLINE = {"Heatherhead-Deadline-Ms": "soon"}


async def post(
    harness: InstanceHarness, key: str, headers: dict[str, str] | None = None
) -> tuple[int, str]:
    """Send an order; return its status and its outcome, which is `ran` for an answer."""
    sent = {"Idempotency-Key": key, **(headers or {})}
    async with harness.session.post(harness.url + "/orders", headers=sent) as answer:
        if answer.content_type != "application/problem+json":
            return answer.status, "ran"
        return answer.status, (await answer.json())["outcome"]


def test_malformed_resend_of_a_call_that_ran_is_not_reported_as_not_run() -> None:
    async def main() -> None:
        async with running_instance(None) as harness:
            key = f"{await harness.request_grant()}.order-1"
            assert await post(harness, key) == (200, "ran")
            assert await post(harness, key, BAD_DEADLINE) == (400, "unknown")

    run_with_shifted_clock(main())


def test_key_refused_early_never_runs() -> None:
    async def main() -> None:
        async with running_instance(None) as harness:
            key = f"{await harness.request_grant()}.order-1"
            assert await post(harness, key, BAD_DEADLINE) == (400, "not-run")
            assert await post(harness, key) == (409, "not-run")
            assert harness.upstreams[0].seen == []

    run_with_shifted_clock(main())


def test_only_the_owner_reports_an_early_refusal_as_not_run() -> None:
    async def main() -> None:
        async with running_instance(None) as harness:
            key = f"{await harness.request_grant()}.order-1".replace("instance-1", "instance-2")
            assert await post(harness, key, BAD_DEADLINE) == (400, "unknown")

    run_with_shifted_clock(main())


def test_missing_and_zero_content_length_have_the_same_fingerprint() -> None:
    async def main() -> None:
        async with running_instance(None) as harness:
            key = f"{await harness.request_grant()}.order-1"
            head = f"POST /orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: {key}\r\n"
            statuses = []
            for length in ("", "Content-Length: 0\r\n"):
                caller = await harness.connect_caller()
                await caller.send(f"{head}{length}\r\n".encode())
                statuses.append((await caller.read_head()).split()[1])
                caller.close()
            assert statuses == ["200", "200"]
            assert len(harness.upstreams[0].seen) == 1

    run_with_shifted_clock(main())
