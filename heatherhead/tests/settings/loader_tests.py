"""Tests of `heatherhead.settings.loader`."""

from __future__ import annotations

import pytest

from heatherhead.exceptions import SettingsError
from heatherhead.settings import parse_settings


def test_comments_are_ignored_and_defaults_are_filled_in() -> None:
    settings = parse_settings('{"instance": {"id": "a1"}, /* zone */ } // end')
    assert settings.instance.id == "a1"
    assert settings.callers.listen.port == 8080


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ('{"callers": {"listen": {"port": 70000}}}', "callers.listen.port"),
        ('{"calers": {}}', "calers"),
        ('{"services": [{"name": "Bad Name"}]}', "services.0.name"),
        ("{", "(file)"),
    ],
)
def test_error_names_the_field(text: str, path: str) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    assert caught.value.path == path
    assert caught.value.remedy


def test_error_lists_all_problems_with_remedies() -> None:
    text = """{
        "calers": {},
        "instance": {"id": ""},
        "services": [{"name": "orders", "upstreams": [{"id": "u1", "host": "db.local"}]}],
        "store": {"prefix": 7},
        "operators": {"whatever": 1},
    }"""
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    remedy_by_path = {each.path: each.remedy for each in caught.value.problems}
    assert remedy_by_path == {
        "calers": "write callers instead",
        "instance.id": "write at least one character",
        "services.0.upstreams.0.host": "set it to an IP number; host names are not looked up",
        "services.0.upstreams.0.port": "add the field",
        "store.prefix": "write it as text in quotes",
        "operators.whatever": "remove it; the fields here are listen",
    }
    assert str(caught.value).count("\n") == len(remedy_by_path) - 1
