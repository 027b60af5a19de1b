"""Measures health checks in a fleet: which daemons check, and what the other homes know."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import aiohttp

from bench.fake_upstream import HEALTH_PATH, UpstreamScript
from bench.fleet import free_ports
from heatherhead.configuration.editor import create_editor
from heatherhead.configuration.replica import create_replica
from heatherhead.configuration.schema import ServiceSchema
from heatherhead.settings.store import StoreSettings
from heatherhead.store.factory import create_store

if TYPE_CHECKING:
    from bench.fleet import Fleet

__all__ = ["measure_homes"]

DAEMONS = 6
HOMES = 3
UPSTREAMS = 12
DRAINED_INDEX = 1
OBSERVATION_S = 6.0
DRAIN_KNOWN_S = 2.0
CALLS_PER_HOME = 100
START_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.2


async def measure_homes(fleet: Fleet, session: aiohttp.ClientSession) -> dict[str, Any]:
    """Start a fleet, count its health checks, drain an idle upstream and call all homes."""
    ports = free_ports(3 * DAEMONS + UPSTREAMS)
    scripts = [UpstreamScript(port) for port in ports[3 * DAEMONS :]]
    fleet.start_upstreams("homes-upstreams", scripts)
    callers_by_id = {f"i{index}": ports[index] for index in range(DAEMONS)}
    peers_by_id = {f"i{index}": ports[DAEMONS + index] for index in range(DAEMONS)}
    admin_by_id = {f"i{index}": ports[2 * DAEMONS + index] for index in range(DAEMONS)}
    await _start_daemons(fleet, session, scripts, callers_by_id, peers_by_id, admin_by_id)
    async with asyncio.timeout(START_TIMEOUT_S):
        homes = await _wait_homes_agreed(session, list(admin_by_id.values()))
    before = await _states(session, scripts)
    await asyncio.sleep(OBSERVATION_S)
    after = await _states(session, scripts)
    checks = [b["health_checks"] - a["health_checks"] for a, b in zip(before, after, strict=True)]
    await _drain(session, scripts[DRAINED_INDEX])
    await asyncio.sleep(DRAIN_KNOWN_S)
    for home in homes:
        for _ in range(CALLS_PER_HOME):
            async with session.get(f"http://127.0.0.1:{callers_by_id[home]}/") as answer:
                await answer.read()
    drained = (await _states(session, scripts))[DRAINED_INDEX]
    return {
        "homes": len(homes),
        "homes_checks_per_upstream_per_s": round(sum(checks) / UPSTREAMS / OBSERVATION_S, 2),
        "homes_most_checks_of_one_per_s": round(max(checks) / OBSERVATION_S, 2),
        "homes_refused_by_draining": drained["refused"],
        "homes_run_by_draining": drained["calls"],
    }


async def _start_daemons(
    fleet: Fleet,
    session: aiohttp.ClientSession,
    scripts: list[UpstreamScript],
    callers_by_id: dict[str, int],
    peers_by_id: dict[str, int],
    admin_by_id: dict[str, int],
) -> None:
    store_url, list_url = (_start_fake(fleet, name) for name in ("store", "instance_list"))
    await _store_service(store_url, scripts)
    await _publish_instance_list(session, list_url, callers_by_id, peers_by_id)
    for own_id, callers in callers_by_id.items():
        settings = {
            "instance": {"id": own_id},
            "callers": {"listen": {"port": callers}},
            "operators": {"listen": {"port": 0}},
            "membership": {"listen": {"port": peers_by_id[own_id]}, "instance_list_url": list_url},
            "store": {"urls": [store_url]},
            "routing": {"homes_minimum": HOMES, "homes_maximum": HOMES},
        }
        path = fleet.write_json(f"{own_id}.json", settings)
        fleet.start(own_id, ["bench.policy_daemon", str(path), str(admin_by_id[own_id])])


def _start_fake(fleet: Fleet, name: str) -> str:
    module = f"heatherhead.tests.fake_{name}"
    fleet.start(name, [module])
    fleet.wait_for(lambda: fleet.output(name).strip(), name)
    return fleet.output(name).strip()


async def _store_service(store_url: str, scripts: list[UpstreamScript]) -> None:
    upstreams = [
        {"id": f"u{index}", "host": each.host, "port": each.port}
        for index, each in enumerate(scripts)
    ]
    service = {
        "name": "stock",
        "path_prefixes": ["/"],
        "health_path": HEALTH_PATH,
        "upstreams": upstreams,
    }
    store = create_store(StoreSettings(urls=(store_url,)))
    replica = create_replica()
    editor = create_editor(
        store, "/heatherhead/", replica, lambda record, _document: replica.apply(record)
    )
    (await editor.put(ServiceSchema.model_validate(service), 0, "bench")).unwrap()
    await store.close()


async def _publish_instance_list(
    session: aiohttp.ClientSession,
    list_url: str,
    callers_by_id: dict[str, int],
    peers_by_id: dict[str, int],
) -> None:
    entries = [
        {
            "id": own_id,
            "region": "local",
            "availability_zone": "local",
            "callers": {"host": "127.0.0.1", "port": callers},
            "peers": {"host": "127.0.0.1", "port": peers_by_id[own_id]},
            "operators": {"host": "127.0.0.1", "port": peers_by_id[own_id]},
        }
        for own_id, callers in callers_by_id.items()
    ]
    url = list_url.replace("/instances", "/admin/instances")
    async with session.put(url, json={"instances": entries}) as answer:
        answer.raise_for_status()


async def _wait_homes_agreed(session: aiohttp.ClientSession, admin_ports: list[int]) -> list[str]:
    """Wait until all daemons see each other as live and agree on the homes; return their ids."""
    while True:
        try:
            stats = [await _stats(session, port) for port in admin_ports]
        except aiohttp.ClientError:
            stats = []
        homes = [each["homes"].get("stock") for each in stats if each["live"] == DAEMONS]
        if homes and homes[0] and homes.count(homes[0]) == DAEMONS:
            return homes[0]
        await asyncio.sleep(POLL_INTERVAL_S)


async def _stats(session: aiohttp.ClientSession, port: int) -> dict[str, Any]:
    async with session.get(f"http://127.0.0.1:{port}/stats") as answer:
        return await answer.json()


async def _states(
    session: aiohttp.ClientSession, scripts: list[UpstreamScript]
) -> list[dict[str, Any]]:
    states = []
    for script in scripts:
        async with session.get(f"http://127.0.0.1:{script.port}/__state") as answer:
            states.append(await answer.json())
    return states


async def _drain(session: aiohttp.ClientSession, script: UpstreamScript) -> None:
    url = f"http://127.0.0.1:{script.port}/__fault"
    async with session.post(url, data=json.dumps({"draining": True})) as answer:
        answer.raise_for_status()
