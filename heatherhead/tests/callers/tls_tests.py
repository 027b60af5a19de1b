"""Tests of TLS on the port for callers."""

from __future__ import annotations

import shutil
import ssl
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest

from heatherhead.exceptions import SettingsError
from heatherhead.tests.callers.fakes import run_with_shifted_clock, running_instance

if TYPE_CHECKING:
    from heatherhead.tests.callers.fakes import InstanceHarness

CERTIFICATES = Path(__file__).parents[1] / "certificates"


def _tls_settings(directory: Path, **more: str) -> dict[str, Any]:
    _install_certificate(directory, "instance")
    paths = {"certificate": str(directory / "own.pem"), "key": str(directory / "own.key")}
    return {"listen": {"port": 0, "tls": {**paths, **more}}}


def _install_certificate(directory: Path, name: str) -> None:
    for suffix in ("pem", "key"):
        shutil.copy(CERTIFICATES / f"{name}.{suffix}", directory / f"own.{suffix}")


def _client_context(certificate: str | None = None) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=str(CERTIFICATES / "authority.pem"))
    context.check_hostname = False
    if certificate:
        path = CERTIFICATES / certificate
        context.load_cert_chain(str(path), str(path.with_suffix(".key")))
    return context


async def _get(harness: InstanceHarness, context: ssl.SSLContext) -> str:
    url = harness.url.replace("http://", "https://")
    connector = aiohttp.TCPConnector(ssl=context, force_close=True)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        session.get(url) as answer,
    ):
        return await answer.text()


def test_calls_over_tls_and_certificate_reload(tmp_path: Path) -> None:
    async def main() -> None:
        async with running_instance(None, callers=_tls_settings(tmp_path)) as harness:
            assert await _get(harness, _client_context()) == "hello"
            assert harness.upstreams[0].headers[0]["X-Forwarded-Proto"] == "https"
            _install_certificate(tmp_path, "stranger")
            assert await _get(harness, _client_context()) == "hello"
            harness.assembly.reload()
            with pytest.raises(aiohttp.ClientConnectorError):
                await _get(harness, _client_context())

    run_with_shifted_clock(main())


def test_unreadable_certificate_keeps_the_old_one(tmp_path: Path) -> None:
    async def main() -> None:
        async with running_instance(None, callers=_tls_settings(tmp_path)) as harness:
            (tmp_path / "own.pem").write_text("no certificate")
            with pytest.raises(SettingsError):
                harness.assembly.reload()
            assert await _get(harness, _client_context()) == "hello"

    run_with_shifted_clock(main())


def test_untrusted_callers_are_refused_if_certificates_are_required(tmp_path: Path) -> None:
    authority = str(CERTIFICATES / "authority.pem")

    async def main() -> None:
        async with running_instance(
            None, callers=_tls_settings(tmp_path, client_ca=authority)
        ) as harness:
            assert await _get(harness, _client_context("operator.pem")) == "hello"
            for certificate in (None, "stranger.pem"):
                with pytest.raises(aiohttp.ClientError):
                    await _get(harness, _client_context(certificate))
            assert len(harness.upstreams[0].seen) == 1

    run_with_shifted_clock(main())
