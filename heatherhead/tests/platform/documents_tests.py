"""Tests of the decoding of settings, stored documents and headers."""

from __future__ import annotations

import json
from typing import Any

import pytest
from multidict import CIMultiDict

from heatherhead.exceptions import SettingsError
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.platform.documents import decode_configuration, decode_upstream
from heatherhead.platform.settings_file import settings_from_text
from heatherhead.routes.model import RepeatRule

SETTINGS = """
NodeName=edge-1
Ip=10.1.0.18
Zone=rabat-a
Region=atlantic
Zones.rabat-a=atlantic
Zones.oujda-a=oriental
Listen.Front=10.1.0.18:8381
Listen.Readiness=10.1.0.18:8388
Listen.Directory=10.1.0.18:8383
InternalPorts=7200,7215
SeedNodes=10.1.0.18:8382,10.2.0.34:8382
Limits.CpuShare=0.5
Limits.CpuCores=2
Bounds=DrainS=3,GraceS=6,BudgetSlack=56,SomethingNew=true
PlatformConfig.Address=10.200.1.7:8384
Unheard.Of=1
"""
UPSTREAM: dict[str, Any] = {
    "Service": "stock",
    "Address": "10.128.0.9:8080",
    "Zone": "rabat-a",
    "ConfigVersion": "v1",
    "Slots": 4,
    "State": "ready",
    "WarmupLeftS": 1.5,
    "Sequence": 4,
    "born": 1700000000000,
}


def test_settings_file_is_read_and_unknown_fields_are_ignored() -> None:
    settings = settings_from_text(SETTINGS)
    assert str(settings.callers) == "10.1.0.18:8381"
    assert settings.peer_port == 7200
    assert settings.region_by_zone == {"rabat-a": "atlantic", "oujda-a": "oriental"}
    assert settings.cpu_cores == 1.0
    assert (settings.drain_s, settings.retry_slack) == (3.0, 56.0)
    assert settings.retry_ratio == 0.2
    assert len(settings.seeds) == 2


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("Listen.Front=10.1.0.18", "Listen.Front"),
        ("InternalPorts=x", "InternalPorts"),
        ("Bounds=DrainS=soon", "DrainS"),
        ("no equals sign", "line"),
    ],
)
def test_invalid_setting_is_named_with_its_remedy(line: str, field: str) -> None:
    with pytest.raises(SettingsError) as caught:
        settings_from_text(SETTINGS + line)
    assert field in str(caught.value)
    assert caught.value.remedy


def test_hedge_ratio_is_read_from_the_environment(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("HEATHERHEAD_HEDGE_RATIO", raising=False)
    assert settings_from_text(SETTINGS).hedge_ratio == 0.0
    monkeypatch.setenv("HEATHERHEAD_HEDGE_RATIO", "0.05")
    assert settings_from_text(SETTINGS).hedge_ratio == 0.05


@pytest.mark.parametrize("text", ["5%", "-0.1", "1.5", "nan"])
def test_invalid_hedge_ratio_is_named(text: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("HEATHERHEAD_HEDGE_RATIO", text)
    with pytest.raises(SettingsError, match="HEATHERHEAD_HEDGE_RATIO"):
        settings_from_text(SETTINGS)


def test_missing_setting_is_named() -> None:
    with pytest.raises(SettingsError, match="PlatformConfig.Address"):
        settings_from_text(SETTINGS.replace("PlatformConfig.Address", "Other"))


def test_configuration_is_decoded_into_routes() -> None:
    document = {
        "ConfigVersion": 7,
        "Routes": {
            "r1": {
                "Hostname": "shop.example",
                "Prefix": "/x/",
                "RouteType": "non_idempotent",
                "TimeoutS": 1,
                "TargetLatencyS": 0.25,
                "Priority": 1,
                "MaxAttempts": 2,
                "TrafficSplit": [
                    {"Service": "a", "Weight": 90},
                    {"Service": "b", "Weight": 10},
                ],
            }
        },
        "Services": {"a": {"HealthCheck": "/healthz", "MaxConnections": 220}},
        "Limits": {"MaxBodyBytes": 100},
    }
    configuration = decode_configuration(json.dumps(document).encode()).ok_value
    route = configuration.route_by_name["r1"]
    assert configuration.version == 7
    assert route.repeat is RepeatRule.NON_IDEMPOTENT
    assert [(part.service, part.weight) for part in route.parts] == [("a", 90.0), ("b", 10.0)]
    assert (route.timeout_s, route.target_latency_s, route.max_attempts) == (1.0, 0.25, 2)
    assert configuration.service_by_name["a"].health_path == "/healthz"
    assert configuration.limits.max_body_bytes == 100


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"ConfigVersion":1,"Routes":{"r":{}}}'])
def test_configuration_that_can_t_be_read_is_an_error(value: bytes) -> None:
    assert decode_configuration(value).is_err()


def test_upstream_s_entry_is_decoded() -> None:
    entry = decode_upstream("servers/i-1", json.dumps(UPSTREAM).encode(), 42).ok_value
    assert (entry.id, entry.host, entry.port, entry.slots) == ("i-1", "10.128.0.9", 8080, 4)
    assert (entry.draining, entry.warmup_left_s, entry.revision) == (False, 1.5, 42)
    assert entry.started_ms == 1700000000000


@pytest.mark.parametrize(
    "changes",
    [
        {"Slots": "4"},
        {"Service": 7},
        {"State": "asleep"},
        {"Address": "nowhere"},
        {"Address": None},
        {"Zone": None},
        {"Slots": 0},
    ],
)
def test_entry_with_invalid_fields_is_an_error(changes: dict[str, Any]) -> None:
    assert decode_upstream("servers/i-1", json.dumps({**UPSTREAM, **changes}).encode(), 1).is_err()


@pytest.mark.parametrize("value", [b"\xff\xfe", b"7", b"null", b'"text"'])
def test_entry_that_is_no_json_object_is_an_error(value: bytes) -> None:
    assert decode_upstream("servers/i-1", value, 1).is_err()


def test_load_header_is_decoded() -> None:
    dialect = PlatformDialect()
    reading = dialect.load_reading(CIMultiDict({"X-Heatherhead-Server-Load": "3,1,4,700"}), 5.0)
    assert reading is not None
    assert (reading.running, reading.waiting, reading.slots, reading.slowdown) == (3, 1, 4, 7.0)
    three = dialect.load_reading(CIMultiDict({"X-Heatherhead-Server-Load": "3,1,4"}), 5.0)
    assert three is not None
    assert three.slowdown is None
    assert dialect.load_reading(CIMultiDict({"X-Heatherhead-Server-Load": "busy"}), 5.0) is None


def test_only_the_not_executed_header_or_status_421_counts_as_not_run() -> None:
    dialect = PlatformDialect()
    not_executed = CIMultiDict({"X-Heatherhead-Not-Executed": "1"})
    assert dialect.answer_metadata(503, not_executed).not_run
    assert dialect.answer_metadata(421, CIMultiDict()).wrong_upstream
    assert not dialect.answer_metadata(503, CIMultiDict()).not_run
    assert not dialect.answer_metadata(421, CIMultiDict()).not_run
    assert not dialect.answer_metadata(500, CIMultiDict()).not_run


@pytest.mark.parametrize(("text", "limit"), [("3.5", 3.5), ("0", 0.0), ("12", 12.0)])
def test_rate_limit_is_read(text: str, limit: float) -> None:
    assert PlatformDialect().rate_limit(CIMultiDict({"server-limit": text})) == limit
    assert PlatformDialect().rate_limit(CIMultiDict()) is None


@pytest.mark.parametrize("text", ["", "many", "-1", "nan", "inf", "1e999"])
def test_malformed_rate_limit_is_no_limit(text: str) -> None:
    with pytest.raises(ValueError):
        PlatformDialect().rate_limit(CIMultiDict({"Server-Limit": text}))
