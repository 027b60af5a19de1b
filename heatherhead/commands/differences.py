"""Differences between two service documents, field by field."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["Difference", "differences_of"]

_KEY_FIELD_BY_LIST = {"upstreams": "id", "classes": "name"}


@dataclass(frozen=True, slots=True)
class Difference:
    """The value of one field before and after a change; `None` if it is absent."""

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.path}: {_json_text(self.after)}"
        if self.after is None:
            return f"- {self.path}: {_json_text(self.before)}"
        return f"~ {self.path}: {_json_text(self.before)} -> {_json_text(self.after)}"

    def as_document(self) -> dict[str, Any]:
        """Return the difference as a JSON document."""
        return asdict(self)


def differences_of(before: dict[str, Any] | None, after: dict[str, Any] | None) -> list[Difference]:
    """List the differences between two service documents; `None` stands for no service.

    Upstreams are matched by id and classes by name. If only their order differs, a single
    difference lists both orders.
    """
    if before is None or after is None:
        if before is after:
            return []
        name = (before or after or {})["name"]
        return [Difference(f"service {name}", before, after)]
    return [
        each
        for field in after
        for each in _field_differences(field, before.get(field), after[field])
    ]


def _field_differences(field: str, before: Any, after: Any) -> Iterator[Difference]:
    if before == after:
        return
    key_field = _KEY_FIELD_BY_LIST.get(field)
    if key_field is None:
        yield Difference(field, before, after)
        return
    before_by_key = {each[key_field]: each for each in before}
    after_by_key = {each[key_field]: each for each in after}
    if before_by_key == after_by_key:
        yield Difference(f"{field} (order)", list(before_by_key), list(after_by_key))
        return
    for key, entry in before_by_key.items():
        if key not in after_by_key:
            yield Difference(f"{field}.{key}", entry, None)
    for key, entry in after_by_key.items():
        yield from _entry_differences(f"{field}.{key}", before_by_key.get(key), entry)


def _entry_differences(
    path: str, before: dict[str, Any] | None, after: dict[str, Any]
) -> Iterator[Difference]:
    if before is None:
        yield Difference(path, None, after)
        return
    for name, value in after.items():
        if before.get(name) != value:
            yield Difference(f"{path}.{name}", before.get(name), value)


def _json_text(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)
