"""Tests of `heatherhead.configuration.service`."""

from __future__ import annotations

import asyncio

import pytest

from heatherhead.configuration.replica import create_replica
from heatherhead.configuration.service import create_configuration
from heatherhead.exceptions import ConflictError, SettingsError
from heatherhead.membership import create_membership
from heatherhead.settings import Settings, parse_settings
from heatherhead.store.factory import create_store
from heatherhead.tests.base import run_with_paused_clock


def test_standalone_instance_serves_the_services_of_its_settings() -> None:
    async def scenario() -> None:
        settings = parse_settings('{services: [{name: "orders", queue_limit: 7}]}')
        replica = create_replica()
        configuration = create_configuration(
            settings, create_store(settings.store), replica, create_membership(settings, "i1")
        )
        assert not configuration.ready.is_set()
        await configuration.start()
        await asyncio.wait_for(configuration.ready.wait(), 5)
        orders = replica.service("orders")
        assert orders is not None
        assert orders.queue_limit == 7
        lost = await configuration.delete("orders", 99, "c1")
        assert isinstance(lost.err_value, ConflictError)
        deleted = await configuration.delete("orders", replica.revision, "c2")
        assert deleted.ok_value.service is None
        assert replica.service("orders") is None
        await configuration.stop()

    run_with_paused_clock(scenario())


def test_several_instances_need_the_platforms_store() -> None:
    settings = Settings.model_validate({"membership": {"instance_list_url": "http://127.0.0.1:1"}})
    membership = create_membership(settings, "i1")
    with pytest.raises(SettingsError, match=r"store\.urls"):
        create_configuration(settings, create_store(settings.store), create_replica(), membership)
