"""Tests of the settings files under `examples/`."""

from __future__ import annotations

import asyncio
from pathlib import Path

import aiohttp
import pytest

from heatherhead.settings import Settings, load_settings
from heatherhead.tests.callers.fakes import running_assembly

EXAMPLES = Path(__file__).parents[2] / "examples"
SERVICES_BY_FILE = {
    "quickstart.json": {"stock"},
    "algarine-crisps.json": {"catalogue", "orders", "harvest-lab"},
    "sluice-greasers.json": {"registre", "tournees", "archives"},
}


def with_free_ports(settings: Settings) -> dict[str, object]:
    """Return the settings with free ports, since other processes may use the original ones."""
    document = settings.model_dump(mode="json")
    for section in ("callers", "operators", "membership"):
        document[section]["listen"]["port"] = 0
    return document


def test_every_example_is_tested() -> None:
    assert {path.name for path in EXAMPLES.glob("*.json")} == set(SERVICES_BY_FILE)


@pytest.mark.parametrize("name", SERVICES_BY_FILE)
def test_example_starts_and_answers_address_requests_for_its_services(name: str) -> None:
    settings = load_settings(str(EXAMPLES / name))
    assert {service.name for service in settings.services} == SERVICES_BY_FILE[name]
    asyncio.run(check_addresses(with_free_ports(settings), SERVICES_BY_FILE[name]))


async def check_addresses(document: dict[str, object], services: set[str]) -> None:
    async with running_assembly(document) as assembly, aiohttp.ClientSession() as session:
        port = assembly.settings.callers.listen.port
        for service in services:
            url = f"http://127.0.0.1:{port}/v1/addresses"
            async with session.get(url, params={"service": service}) as answer:
                answer_document = await answer.json()
                assert answer.status == 200
        assert answer_document["addresses"][0]["address"] == f"127.0.0.1:{port}"
        async with session.get(f"{url}?service=none-such") as answer:
            assert answer.status == 404
