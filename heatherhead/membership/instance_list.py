"""The platform's instance list: JSON over HTTP, or in memory for tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Literal, Protocol

import aiohttp
from pydantic import BaseModel, Field, IPvAnyAddress, ValidationError
from result import Err, Ok

from heatherhead.exceptions import HeatherheadError
from heatherhead.membership.interface import Address, Instance, InstanceState
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from result import Result

__all__ = [
    "HttpInstanceList",
    "InstanceList",
    "InstanceListError",
    "MemoryInstanceList",
    "create_http_instance_list",
    "create_memory_instance_list",
]

MAX_INSTANCES = 8_192
MAX_BODY_BYTES = 8 * 1024 * 1024
READ_TIMEOUT_S = 5.0


class InstanceListError(HeatherheadError):
    """The platform's instance list could not be read."""


class InstanceList(Protocol):
    """Source of the listed instances, live and leaving; the list may be out of date."""

    async def read(self) -> Result[list[Instance], HeatherheadError]:
        """Read the list; incarnations are unknown and empty."""
        ...

    async def close(self) -> None:
        """Close connections."""
        ...


class _AddressSchema(BaseModel):
    host: IPvAnyAddress
    port: int = Field(ge=1, le=65535)


class _InstanceSchema(BaseModel):
    id: str = Field(min_length=1, max_length=64)
    region: str = Field(min_length=1, max_length=64)
    availability_zone: str = Field(min_length=1, max_length=64)
    state: Literal["live", "leaving"] = "live"
    callers: _AddressSchema
    peers: _AddressSchema
    operators: _AddressSchema


class _ListSchema(BaseModel):
    instances: list[Any] = Field(max_length=MAX_INSTANCES)


class HttpInstanceList:
    """Reads the list with a `GET` request to a URL."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    async def read(self) -> Result[list[Instance], HeatherheadError]:
        """Read the list; incarnations are unknown and empty."""
        if self._session is None:
            # A kept connection may bring an earlier list once more.
            connector = aiohttp.TCPConnector(force_close=True)
            timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
            self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        try:
            async with self._session.get(self._url) as reply:
                reply.raise_for_status()
                data = await _read_bounded(reply.content)
            document = _ListSchema.model_validate_json(data)
        except (TimeoutError, OSError, aiohttp.ClientError, ValidationError) as error:
            return Err(_list_error(error))
        instances = map(_instance_of, document.instances)
        return Ok([each for each in instances if each is not None])

    async def close(self) -> None:
        """Close connections."""
        if self._session is not None:
            await self._session.close()


class MemoryInstanceList:
    """An instance list in memory."""

    def __init__(self) -> None:
        self.by_id: dict[str, Instance] = {}

    async def read(self) -> Result[list[Instance], HeatherheadError]:
        """Read the list."""
        await asyncio.sleep(0)
        return Ok(list(self.by_id.values()))

    async def close(self) -> None:
        """Do nothing, as there is no connection."""


async def _read_bounded(content: aiohttp.StreamReader) -> bytes:
    data = bytearray()
    async for chunk in content.iter_any():
        data += chunk
        if len(data) > MAX_BODY_BYTES:
            raise aiohttp.ClientPayloadError(f"body larger than {MAX_BODY_BYTES} bytes")
    return bytes(data)


def _instance_of(entry: Any) -> Instance | None:
    """Convert one entry; `None` for a malformed one, which keeps back no other."""
    try:
        schema = _InstanceSchema.model_validate(entry)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        log_event(
            "listed_instance_refused",
            level="WARNING",
            field=".".join(str(part) for part in first["loc"]),
            reason=first["msg"],
        )
        return None
    addresses = [
        Address(str(each.host), each.port)
        for each in (schema.callers, schema.peers, schema.operators)
    ]
    place = (schema.region, schema.availability_zone)
    return Instance(schema.id, "", *place, *addresses, InstanceState(schema.state))


def _list_error(error: Exception) -> InstanceListError:
    return InstanceListError(
        f"the instance list can't be read, {type(error).__name__}: {error}"[:500],
        remedy="check membership.instance_list_url; docs/operators/partitions.md has its form",
    )


def create_http_instance_list(url: str) -> HttpInstanceList:
    """Create the reader of the list at a URL."""
    return HttpInstanceList(url)


def create_memory_instance_list() -> MemoryInstanceList:
    """Create an empty list."""
    return MemoryInstanceList()
