"""Tests of `heatherhead.settings.check`."""

from __future__ import annotations

from pathlib import Path

import pytest

from heatherhead.exceptions import SettingsError
from heatherhead.settings.check import check_settings_file, load_checked_settings

EXAMPLES = Path(__file__).parents[3] / "examples"

UPSTREAM = '{"id": "u1", "host": "10.0.0.1", "port": 80}'
ORDERS = f'{{"name": "orders", "hosts": ["a.test"], "upstreams": [{UPSTREAM}]}}'
STOCK = f'{{"name": "stock", "hosts": ["A.test"], "upstreams": [{UPSTREAM}]}}'


@pytest.fixture
def settings_file(tmp_path: Path) -> Path:
    return tmp_path / "settings.json"


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ('{"operators": {"listen": {"host": "localhost", "port": 1}}}', "operators.listen.host"),
        ('{"callers": {"listen": {"host": "0.0.0.0", "port": 1}}}', "callers.advertised_host"),
        ('{"membership": {"advertised_host": "a.test"}}', "membership.advertised_host"),
        ('{"operators": {"listen": {"port": 8080}}}', "operators.listen.port"),
        (
            '{"operators": {"listen": {"port": 1, "tls": {"certificate": "/no", "key": "/no"}}}}',
            "operators.listen.tls.certificate",
        ),
        ('{"store": {"urls": ["store:2379"]}}', "store.urls.0"),
        ('{"membership": {"instance_list_url": "http://10.0.0.1/list"}}', "store.urls"),
        ('{"membership": {"heartbeat_ms": 4000}}', "membership.heartbeat_ms"),
        ('{"routing": {"homes_minimum": 9, "homes_maximum": 8}}', "routing.homes_minimum"),
        (f'{{"services": [{ORDERS}, {STOCK}]}}', "services.1.hosts.0"),
        (f'{{"services": [{ORDERS}, {ORDERS}]}}', "services.1.name"),
    ],
)
def test_inconsistent_fields_are_reported_as_problems(
    settings_file: Path, text: str, path: str
) -> None:
    settings_file.write_text(text)
    report = check_settings_file(str(settings_file))
    assert path in [each.path for each in report.problems]
    assert all(each.remedy for each in report.problems)
    with pytest.raises(SettingsError) as caught:
        load_checked_settings(str(settings_file))
    assert caught.value.problems == report.problems


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ('{"operators": {"listen": {"host": "10.0.0.1", "port": 1}}}', "operators.listen.tls"),
        ('{"store": {"urls": ["http://10.0.0.1:2379"]}}', "membership.instance_list_url"),
        ('{"services": [{"name": "orders", "hosts": ["a.test"]}]}', "services.0.upstreams"),
        (f'{{"instance": {{"region": "nord"}}, "services": [{ORDERS}]}}', "instance.region"),
    ],
)
def test_suspicious_settings_are_reported_as_warnings(
    settings_file: Path, text: str, path: str
) -> None:
    settings_file.write_text(text)
    report = check_settings_file(str(settings_file))
    assert report.problems == ()
    assert path in [each.path for each in report.warnings]
    assert f"warning: {path}" in str(report)


def test_invalid_file_reports_every_wrong_field(settings_file: Path) -> None:
    settings_file.write_text('{"instance": {"id": 7}, "store": {"prefix": 7}}')
    report = check_settings_file(str(settings_file))
    assert [each.path for each in report.problems] == ["instance.id", "store.prefix"]
    assert str(report).endswith("2 errors, 0 warnings")


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.json")), ids=lambda path: path.name)
def test_examples_have_no_problems_and_no_warnings(path: Path) -> None:
    assert str(check_settings_file(str(path))) == "the settings are in order"
