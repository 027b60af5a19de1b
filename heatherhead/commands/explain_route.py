"""`heatherhead explain-route`."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import aiohttp

from heatherhead.commands.exit_codes import CommandError, ExitCode
from heatherhead.commands.options import parse_number

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from heatherhead.commands.output import Output
    from heatherhead.commands.session import Session

__all__ = ["USAGE", "fetch", "run"]

USAGE = """Tell what an entry instance would do with a call now, and why.

It sends no call, and takes no slot, permit or retry from others.

Usage:
  heatherhead explain-route INSTANCE HOST PATH [options]

INSTANCE is the readiness or control address HOST:PORT of an entry instance.

Options:
  --method=METHOD    Method of the call [default: GET].
  --customer=NAME    The customer whose call it is, by name. Without it, the call has no key.
  --region=REGION    List only upstreams of this region.
  --client-timeout=SECONDS  How long the caller waits for the answer.
  --body-bytes=BYTES  Size of the request's body [default: 0].
"""

MAX_ANSWER_BYTES = 1024 * 1024  # an answer has 20 upstreams and some ten kilobytes
REMEDY = "name the readiness or control address HOST:PORT of an entry instance"


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print what the instance would do with the call."""
    parameters = {
        "host": arguments["HOST"],
        "path": arguments["PATH"],
        "method": arguments["--method"],
        "customer": arguments["--customer"],
        "region": arguments["--region"],
        "client_timeout_s": arguments["--client-timeout"],
        "body_bytes": arguments["--body-bytes"],
    }
    given = {name: value for name, value in parameters.items() if value is not None}
    timeout_s = parse_number("--timeout", arguments["--timeout"])
    document = await fetch(arguments["INSTANCE"], given, timeout_s)
    if session.output.as_json:
        session.output.print_document(document)
    else:
        _print(session.output, document)
    return ExitCode.DONE


async def fetch(instance: str, parameters: Mapping[str, str], timeout_s: float) -> dict[str, Any]:
    """Ask the page of an instance; raises `CommandError`."""
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as client,
            client.get(f"http://{instance}/explain", params=parameters) as response,
        ):
            body = await response.content.read(MAX_ANSWER_BYTES)
            while len(body) < MAX_ANSWER_BYTES and (more := await response.content.read(65536)):
                body += more
    except aiohttp.InvalidURL as error:
        raise CommandError(ExitCode.USAGE, f"{instance} is not HOST:PORT", remedy=REMEDY) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = f"{instance} gives no answer: {str(error) or 'timed out'}"
        raise CommandError(ExitCode.UNREACHABLE, reason, remedy=REMEDY) from error
    text = body.decode(errors="replace").strip()
    if response.status == HTTPStatus.BAD_REQUEST:
        raise CommandError(ExitCode.USAGE, text[:500], remedy="see --help")
    if response.status != HTTPStatus.OK:
        reason = f"{instance} has no such page: status {response.status}"
        raise CommandError(ExitCode.FAULT, reason, remedy=REMEDY)
    try:
        document = json.loads(text)
        assert isinstance(document, dict)
    except (ValueError, AssertionError) as error:
        reason = f"{instance} gives an answer that is no explanation"
        raise CommandError(ExitCode.FAULT, reason, remedy=REMEDY) from error
    return document


def _print(output: Output, document: Mapping[str, Any]) -> None:
    output.print_note(
        f"as seen by {document['instance']} in {document['region']}/{document['availability_zone']},"
        f" configuration {document['configuration_version']}"
    )
    for line in _lines(document):
        output.print_line(line)
    candidates = document["candidates"]
    if not candidates:
        return
    output.print_line("")
    output.print_table(
        (
            "#",
            "upstream",
            "region/zone",
            "standing",
            "cost",
            "expected",
            "slowdown",
            "read",
            "calls",
            "transit",
            "why",
        ),
        [_row(each) for each in candidates],
    )
    if len(candidates) < document["candidates_total"]:
        output.print_note(f"{len(candidates)} of {document['candidates_total']} upstreams shown")


def _lines(document: Mapping[str, Any]) -> Iterator[str]:
    if (route := document["route"]) is not None:
        yield (
            f"route: {route['name']} ({route['host']}{route['prefix']}), {route['repeat']},"
            f" priority {route['priority']}, at most {route['max_attempts']} attempts"
        )
        parts = ", ".join(f"{each['service']} {each['weight']:g}" for each in route["parts"])
        yield f"services: {parts}; next: {route['next_service']}"
    if (customer := document["customer"]) is not None:
        yield (
            f"customer: {customer['name']}, priority {customer['priority']},"
            f" {_cap_text(customer['cap'])}"
        )
    if document["note"]:
        yield f"note: {document['note']}"
    if document["retry_budget"] is not None:
        regions = document["allowed_regions"]
        yield f"allowed regions: {'all' if regions is None else ', '.join(regions) or 'none'}"
        budget = document["retry_budget"]
        spendable = "" if budget["allows_this_call"] else ", none for this call"
        yield f"retry budget: {budget['left']:.1f} extra attempts left{spendable}"
    yield f"outcome: {_outcome_text(document['outcome'])}"


def _cap_text(cap: Mapping[str, Any] | None) -> str:
    if cap is None:
        return "no cap"
    return f"cap {cap['calls_per_s']:g} calls a second and a burst of {cap['burst']:g}"


def _outcome_text(outcome: Mapping[str, Any]) -> str:
    text = outcome["kind"]
    if outcome["status"] is not None:
        text += f" with {outcome['status']}"
    if outcome["retry_after_s"] is not None:
        text += f", Retry-After {outcome['retry_after_s']:.3f} s"
    if outcome["upstream"] is not None:
        text += f" to {outcome['upstream']}, answer in {outcome['expected_s']:.3f} s"
    if outcome["wait_s"] is not None:
        text += f" behind {outcome['ahead']} calls, for {outcome['wait_s']:.3f} s"
    text += f": {outcome['reason']}"
    if outcome["sampled_of"]:
        text += f"; a call takes the best of a random sample of {outcome['sampled_of']}"
    if outcome["permits_of"]:
        text += f" of {', '.join(outcome['permits_of'])}"
    return text


def _row(candidate: Mapping[str, Any]) -> tuple[object, ...]:
    cost_s, read_s = candidate["cost_s"], candidate["reading_age_s"]
    return (
        candidate["position"],
        candidate["upstream"],
        f"{candidate['region']}/{candidate['availability_zone']}",
        candidate["standing"],
        "-" if cost_s is None else f"{cost_s:.3f} s",
        f"{candidate['expected_s']:.3f} s",
        f"{candidate['slowdown']:.2f}",
        "-" if read_s is None else f"{read_s:.2f} s ago",
        f"{candidate['occupancy']}/{candidate['usable_slots']} of {candidate['slots']}",
        f"{candidate['transit_s'] * 1000:.1f} ms",
        candidate["reason"],
    )
