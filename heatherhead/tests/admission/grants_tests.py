"""Tests of `heatherhead.admission.grants`."""

from __future__ import annotations

import pytest

from heatherhead.admission.grants import (
    MAX_CALLER_ID_CHARS,
    CallKey,
    Grant,
    GrantProblem,
    create_grant_issuer,
    parse_key,
)
from heatherhead.exceptions import ReportedOutcome, SettingsError

NOW = 1_000.0


def parse_test_key(grant_text: str) -> CallKey:
    return parse_key(f"{grant_text}.order-1").unwrap()


def test_issuer_verifies_its_own_grant() -> None:
    issuer = create_grant_issuer("entry.7", "a1", lifetime_s=30.0)
    key = parse_test_key(issuer.issue(NOW))
    assert (key.grant.instance_id, key.grant.incarnation, key.caller_id) == (
        "entry.7",
        "a1",
        "order-1",
    )
    assert issuer.verify(key.grant).unwrap() == Grant(1, NOW + 30.0)
    assert issuer.verify(parse_test_key(issuer.issue(NOW)).grant).unwrap().serial == 2


@pytest.mark.parametrize(
    ("instance_id", "incarnation", "problem"),
    [
        ("entry-2", "a1", GrantProblem.OTHER_INSTANCE),
        ("entry-1", "a2", GrantProblem.OTHER_INCARNATION),
        ("entry-1", "a1", GrantProblem.FORGED),
    ],
)
def test_grant_of_another_process_fails_verification(
    instance_id: str, incarnation: str, problem: GrantProblem
) -> None:
    other = create_grant_issuer(instance_id, incarnation)
    own = create_grant_issuer("entry-1", "a1")
    assert own.verify(parse_test_key(other.issue(NOW)).grant).unwrap_err() is problem


def test_altered_grant_is_forged() -> None:
    issuer = create_grant_issuer("entry-1", "a1")
    text = issuer.issue(NOW)
    fields = text.split("~")
    for index in (3, 4):
        altered = [*fields]
        altered[index] = f"{int(fields[index], 16) + 1:x}"
        claim = parse_test_key("~".join(altered)).grant
        assert issuer.verify(claim).unwrap_err() is GrantProblem.FORGED


@pytest.mark.parametrize(
    "text",
    [
        "",
        "order-1",
        "h1~entry~a1~1~1~short.order-1",
        "h2~entry~a1~1~1~AAAAAAAAAAAAAAAAAAAAAA.order-1",
        "h1~entry~a1~1~1~AAAAAAAAAAAAAAAAAAAAAA.",
        "h1~entry~a1~1~1~AAAAAAAAAAAAAAAAAAAAAA.two words",
        "h1~entry~a1~1~1~AAAAAAAAAAAAAAAAAAAAAA.order\n",
        "h1~entry~a1~x~1~AAAAAAAAAAAAAAAAAAAAAA.order-1",
        "h1~entry~a1~1~1~AAAAAAAAAAAAAAAAAAAAAA." + "x" * (MAX_CALLER_ID_CHARS + 1),
        "h1~" + "e" * 65 + "~a1~1~1~AAAAAAAAAAAAAAAAAAAAAA.order-1",
    ],
)
def test_malformed_key_is_reported_as_not_run(text: str) -> None:
    assert parse_key(text).unwrap_err().outcome is ReportedOutcome.NOT_RUN


def test_name_that_does_not_fit_into_a_grant_raises() -> None:
    with pytest.raises(SettingsError):
        create_grant_issuer("entry~1", "a1")
