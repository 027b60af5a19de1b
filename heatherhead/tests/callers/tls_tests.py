"""Tests of TLS on the callers' port."""

from __future__ import annotations

import shutil
import ssl
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest

from heatherhead.exceptions import SettingsError
from heatherhead.tests.callers.fakes import run_shifted, stand

if TYPE_CHECKING:
    from heatherhead.tests.callers.fakes import Stand

CERTIFICATES = Path(__file__).parents[1] / "certificates"


def _tls(directory: Path, **more: str) -> dict[str, Any]:
    _copy(directory, "instance")
    own = {"certificate": str(directory / "own.pem"), "key": str(directory / "own.key")}
    return {"listen": {"port": 0, "tls": {**own, **more}}}


def _copy(directory: Path, name: str) -> None:
    for suffix in ("pem", "key"):
        shutil.copy(CERTIFICATES / f"{name}.{suffix}", directory / f"own.{suffix}")


def _client(certificate: str | None = None) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=str(CERTIFICATES / "authority.pem"))
    context.check_hostname = False
    if certificate:
        path = CERTIFICATES / certificate
        context.load_cert_chain(str(path), str(path.with_suffix(".key")))
    return context


async def _get(here: Stand, context: ssl.SSLContext) -> str:
    url = here.url.replace("http://", "https://")
    connector = aiohttp.TCPConnector(ssl=context, force_close=True)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        session.get(url) as answer,
    ):
        return await answer.text()


def test_calls_by_tls_and_a_reloaded_certificate(tmp_path: Path) -> None:
    async def main() -> None:
        async with stand(None, callers=_tls(tmp_path)) as here:
            assert await _get(here, _client()) == "hello"
            assert here.upstreams[0].headers[0]["X-Forwarded-Proto"] == "https"
            _copy(tmp_path, "stranger")
            assert await _get(here, _client()) == "hello"
            here.assembly.reload()
            with pytest.raises(aiohttp.ClientConnectorError):
                await _get(here, _client())

    run_shifted(main())


def test_unreadable_certificate_keeps_the_old_one(tmp_path: Path) -> None:
    async def main() -> None:
        async with stand(None, callers=_tls(tmp_path)) as here:
            (tmp_path / "own.pem").write_text("no certificate")
            with pytest.raises(SettingsError):
                here.assembly.reload()
            assert await _get(here, _client()) == "hello"

    run_shifted(main())


def test_strangers_are_refused_when_callers_need_certificates(tmp_path: Path) -> None:
    authority = str(CERTIFICATES / "authority.pem")

    async def main() -> None:
        async with stand(None, callers=_tls(tmp_path, client_ca=authority)) as here:
            assert await _get(here, _client("operator.pem")) == "hello"
            for certificate in (None, "stranger.pem"):
                with pytest.raises(aiohttp.ClientError):
                    await _get(here, _client(certificate))
            assert len(here.upstreams[0].seen) == 1

    run_shifted(main())
