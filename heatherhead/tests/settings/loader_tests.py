"""Tests of `heatherhead.settings.loader`."""

from __future__ import annotations

import pytest

from heatherhead.exceptions import SettingsError
from heatherhead.settings import parse_settings


def test_comments_and_defaults() -> None:
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
