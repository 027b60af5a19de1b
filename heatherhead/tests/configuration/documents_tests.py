"""Tests of `heatherhead.configuration.documents`."""

from __future__ import annotations

import json
from dataclasses import fields

from heatherhead.configuration.documents import decode_record, encode_record
from heatherhead.configuration.model import (
    CallClass,
    EarlierChange,
    PathRule,
    Service,
    ServiceRecord,
    Upstream,
)

UPSTREAM = Upstream("u1", "2001:db8::1", 9000, "souss", "souss-a", 3, True)
SERVICE = Service(
    "orders",
    upstreams=(UPSTREAM,),
    hosts=("orders.test",),
    path_prefixes=("/orders",),
    default_deadline_ms=500,
    queue_limit=9,
    classes=(CallClass("urgent", 5), CallClass("default")),
    path_rules=(PathRule("/find", True, ("POST",)),),
    retry_share=0.2,
    hedge_share=0.0,
    key_required=False,
    health_path="/health",
)


def test_every_field_survives_encoding_and_decoding() -> None:
    defaults = Service("")
    assert all(
        getattr(SERVICE, each.name) != getattr(defaults, each.name) for each in fields(SERVICE)
    )
    record = ServiceRecord("orders", 7, "c7", SERVICE, (EarlierChange("c6", 6),))
    assert decode_record(encode_record(record), 7) == record
    tombstone = ServiceRecord("orders", 8, "c8", None, (EarlierChange("c7", 7),))
    assert decode_record(encode_record(tombstone), 8) == tombstone


def test_default_fields_are_omitted() -> None:
    service = Service("orders", upstreams=(Upstream("u1", "127.0.0.1", 9000),))
    document = json.loads(encode_record(ServiceRecord("orders", 1, "c1", service)))
    expected = {"name": "orders", "upstreams": [{"id": "u1", "host": "127.0.0.1", "port": 9000}]}
    assert document["service"] == expected
