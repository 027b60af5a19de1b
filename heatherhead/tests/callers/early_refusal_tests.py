"""Tests of keyed calls that are refused before the key table sees their key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.tests.callers.fakes import run_shifted, stand

if TYPE_CHECKING:
    from heatherhead.tests.callers.fakes import Stand

BAD_DEADLINE = {"Heatherhead-Deadline-Ms": "soon"}


async def post(here: Stand, key: str, headers: dict[str, str] | None = None) -> tuple[int, str]:
    """Send an order; gives status and outcome, `ran` for an answer."""
    sent = {"Idempotency-Key": key, **(headers or {})}
    async with here.session.post(here.url + "/orders", headers=sent) as answer:
        if answer.content_type != "application/problem+json":
            return answer.status, "ran"
        return answer.status, (await answer.json())["outcome"]


def test_a_bad_resend_of_a_call_that_ran_is_not_told_as_not_run() -> None:
    async def main() -> None:
        async with stand(None) as here:
            key = f"{await here.grant()}.order-1"
            assert await post(here, key) == (200, "ran")
            assert await post(here, key, BAD_DEADLINE) == (400, "unknown")

    run_shifted(main())


def test_a_key_that_was_refused_early_never_runs() -> None:
    async def main() -> None:
        async with stand(None) as here:
            key = f"{await here.grant()}.order-1"
            assert await post(here, key, BAD_DEADLINE) == (400, "not-run")
            assert await post(here, key) == (409, "not-run")
            assert here.upstreams[0].seen == []

    run_shifted(main())


def test_only_the_owner_tells_that_an_early_refusal_was_not_run() -> None:
    async def main() -> None:
        async with stand(None) as here:
            key = f"{await here.grant()}.order-1".replace("instance-1", "instance-2")
            assert await post(here, key, BAD_DEADLINE) == (400, "unknown")

    run_shifted(main())


def test_a_call_without_a_body_is_the_same_with_and_without_its_length() -> None:
    async def main() -> None:
        async with stand(None) as here:
            key = f"{await here.grant()}.order-1"
            head = f"POST /orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: {key}\r\n"
            statuses = []
            for length in ("", "Content-Length: 0\r\n"):
                caller = await here.caller()
                await caller.send(f"{head}{length}\r\n".encode())
                statuses.append((await caller.head()).split()[1])
                caller.close()
            assert statuses == ["200", "200"]
            assert len(here.upstreams[0].seen) == 1

    run_shifted(main())
