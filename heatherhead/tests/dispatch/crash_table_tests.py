"""Tests of which crashes of upstreams are held against a request."""

from __future__ import annotations

import msgpack

from heatherhead.dispatch.crashes import (
    CRASH_RECORD_TTL_S,
    MAX_FINGERPRINTS,
    CrashedStart,
    CrashReport,
    CrashTable,
    ReportEffect,
    create_crash_table,
)
from heatherhead.fleet.peer_messages import (
    CrashNotice,
    decode_crashes,
    decode_message,
    encode_crashes,
    encode_message,
)

NOW = 1000.0
REQUEST = 7  # its fingerprint


def _record(table: CrashTable, *starts: str, at: float = NOW) -> int:
    crashes = 0
    for start in starts:
        crashes = table.record_crash(REQUEST, start, at, at + 0.15)
    return crashes


def _pass_on(source: CrashTable, target: CrashTable, at: float = NOW + 0.2) -> ReportEffect:
    """Apply what one instance knows at another one."""
    report = decode_crashes(encode_crashes(source.report(REQUEST, at)))
    return target.apply_report(report, at)


def test_upstream_that_breaks_four_attempts_counts_as_four_crashes() -> None:
    table = create_crash_table()
    assert _record(table, "u1 1", "u1 1", "u1 1", "u1 1", "u2 1", "u2 1", "u2 1") == 2
    assert not table.quarantined(REQUEST, NOW + 0.2)
    assert _record(table, "u1 2") == 3  # another start of the same upstream
    assert table.quarantined(REQUEST, NOW + 0.2)


def test_upstream_whose_crash_two_instances_saw_counts_twice() -> None:
    first, second, third = (create_crash_table() for _ in range(3))
    for table in (first, second):
        _record(table, "u1 1")
    for source, target in ((first, second), (second, first), (first, second)):
        assert _pass_on(source, target) is ReportEffect.NONE
    assert _pass_on(first, third) is ReportEffect.CHANGED
    assert _record(third, "u1 1", at=NOW + 0.01) == 1
    assert _record(third, "u2 1") == 2
    assert _pass_on(third, first) is ReportEffect.CHANGED
    assert first.report(REQUEST, NOW).crashes == 2


def test_crashes_that_three_instances_saw_are_added() -> None:
    """The highest count of one instance was taken, so that nine crashes were needed."""
    tables = [create_crash_table() for _ in range(3)]
    for number, table in enumerate(tables):
        _record(table, f"u{number} 1")
    for source in tables:
        for target in tables:
            _pass_on(source, target)
    assert all(table.quarantined(REQUEST, NOW + 0.3) for table in tables)


def test_report_that_is_passed_on_for_long_prolongs_no_quarantine() -> None:
    first, second = create_crash_table(), create_crash_table()
    _record(first, "u1 1", "u2 1", "u3 1")
    late = NOW + CRASH_RECORD_TTL_S - 0.1
    assert _pass_on(first, second, at=late) is ReportEffect.CHANGED
    assert second.quarantined(REQUEST, late)
    assert not second.quarantined(REQUEST, NOW + CRASH_RECORD_TTL_S + 0.01)
    assert _pass_on(first, second, at=late) is ReportEffect.NONE


def test_crash_after_a_quarantine_is_known_to_instances_that_forgot_or_missed_it() -> None:
    knowing, other, new = (create_crash_table() for _ in range(3))
    _record(knowing, "u1 1", "u2 1", "u3 1")
    _pass_on(knowing, other)
    ended_at = NOW + CRASH_RECORD_TTL_S
    assert _record(knowing, "u4 1", at=ended_at) == 3
    for table in (other, new):
        assert _pass_on(knowing, table, at=ended_at + 0.2) is ReportEffect.CHANGED
        assert table.quarantined(REQUEST, ended_at + 0.2)
        assert _pass_on(knowing, table, at=ended_at + 0.3) is ReportEffect.NONE


def test_messages_on_crashes_are_read_by_earlier_versions_and_read_from_them() -> None:
    report = CrashReport(REQUEST, 2, (CrashedStart("u1 1", 0.2), CrashedStart("u2 1", 0.1)))
    version, kind, sender, *rest = msgpack.unpackb(encode_message(CrashNotice("i1", report)))
    assert (sender, int(rest[0]), int(rest[1])) == ("i1", REQUEST, 2)
    earlier = msgpack.packb([version, kind, "i2", REQUEST, 2])
    assert decode_message(earlier) == CrashNotice("i2", CrashReport(REQUEST, 2))
    table = create_crash_table()
    assert table.apply_report(CrashReport(REQUEST, 2), NOW) is ReportEffect.CHANGED
    assert _record(table, "u3 1") == 3


def test_report_without_news_after_a_quarantine_ends_the_trial() -> None:
    """The request was then allowed three more crashes."""
    table = create_crash_table()
    _record(table, "u1 1", "u2 1", "u3 1")
    ended_at = NOW + CRASH_RECORD_TTL_S
    for seconds in (1.0, 2.0):
        assert table.apply_report(CrashReport(REQUEST, 1), ended_at + seconds) is ReportEffect.NONE
    assert _record(table, "u4 1", at=ended_at + 3.0) == 3


def test_crash_is_held_against_a_request_that_was_answered_before_it_was_verified() -> None:
    table = create_crash_table()
    assert not table.record_answer(REQUEST, NOW + 0.07)
    assert _record(table, "u1 1", "u2 1", "u3 1") == 0
    assert table.report(REQUEST, NOW).crashes == 0
    assert _record(table, "u4 1", at=NOW + 0.08) == 1  # broke after the answer


def test_crash_before_an_answer_to_another_instance_is_held_against_a_request() -> None:
    """Each instance quarantined a request that others got answers to all the while."""
    crashed, answered, idle = (create_crash_table() for _ in range(3))
    _record(crashed, "u1 1", "u2 1", "u3 1")
    _pass_on(crashed, idle)
    answered.record_answer(REQUEST, NOW + 0.05)
    assert _pass_on(crashed, answered) is ReportEffect.REFUTED
    assert not answered.quarantined(REQUEST, NOW + 0.2)
    assert _pass_on(crashed, answered) is ReportEffect.NONE  # it has told others of its answer
    for table in (crashed, idle):
        assert table.quarantined(REQUEST, NOW + 0.2)
        assert _pass_on(answered, table) is ReportEffect.CHANGED
        assert not table.quarantined(REQUEST, NOW + 0.2)
    assert _record(crashed, "u4 1") == 0  # it broke together with the others


def test_answer_clears_the_crashes_at_one_instance_only() -> None:
    first, second = create_crash_table(), create_crash_table()
    _record(first, "u1 1", "u2 1", "u3 1")
    _pass_on(first, second)
    assert first.record_answer(REQUEST, NOW + 0.3)
    assert _pass_on(first, second, at=NOW + 0.4) is ReportEffect.CHANGED
    assert not second.quarantined(REQUEST, NOW + 0.4)


def test_late_report_of_cleared_crashes_is_believed() -> None:
    first, second = create_crash_table(), create_crash_table()
    _record(first, "u1 1", "u2 1", "u3 1")
    late = first.report(REQUEST, NOW + 0.2)
    first.record_answer(REQUEST, NOW + 0.25)
    assert _pass_on(first, second, at=NOW + 0.3) is ReportEffect.NONE
    assert second.apply_report(late, NOW + 0.3) is ReportEffect.NONE
    assert not second.quarantined(REQUEST, NOW + 0.4)


def test_crash_after_an_answer_is_forgotten() -> None:
    """A request that has begun to crash upstreams is still quarantined."""
    table = create_crash_table()
    table.record_answer(REQUEST, NOW - 0.01)
    assert _record(table, "u1 1", "u2 1", "u3 1") == 3
    assert table.quarantined(REQUEST, NOW + 0.2)


def test_table_holds_a_bounded_number_of_answers() -> None:
    table = create_crash_table()
    for number in range(10_000):
        table.record_answer(number, NOW + number / 10_000)
    assert len(table._answered_at_by_fingerprint) <= MAX_FINGERPRINTS
    table.record_answer(REQUEST, NOW + 100.0)
    assert list(table._answered_at_by_fingerprint) == [REQUEST]
