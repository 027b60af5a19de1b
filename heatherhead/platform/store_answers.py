"""Checks that an answer of the store can be that to its call."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

__all__ = ["find_misfit"]

_CONFLICT = 412
_CONFLICT_FIELDS: dict[str, type] = {"items": list}
_FIELDS_BY_CALL: dict[str, dict[str, type]] = {  # of the answers with status 200
    "kv-range": {"items": list, "StoreRevision": int},
    "kv-watch": {"events": list, "StoreRevision": int},
    "kv-txn": {"Revision": int},
    "kv-lease": {"LeaseId": int, "TtlS_time": float},
    "kv-keep": {"TtlS_time": float},
}


def find_misfit(
    path: str,
    query: Mapping[str, Any] | None,
    body: Mapping[str, Any] | None,
    status: int,
    answer: Any,
) -> str | None:
    """Return why an answer isn't that to a call, `None` if it may be."""
    call = path.split("/")[1]
    if status == _CONFLICT:
        fields = _CONFLICT_FIELDS
    elif status == 200:
        fields = _FIELDS_BY_CALL.get(call, {})
    else:
        return None
    if not isinstance(answer, dict):
        return "no object"
    for name, kind in fields.items():
        if not isinstance(answer.get(name), (int, float) if kind is float else kind):
            return f"no {name}"
    expected = (body or {}).get("ExpectedRev", ())
    if status == _CONFLICT:
        present = [row for row in answer["items"] if not _is_missing(row)]
        return _find_foreign_key(present, keys={row["Key"] for row in expected})
    if any(answer["Revision"] <= row["Revision"] for row in expected):
        return "a write at no later revision"
    rows = [*answer.get("items", ()), *answer.get("events", ())]
    return _find_foreign_key(rows, prefix=(query or {}).get("Prefix", ""))


def _is_missing(row: Any) -> bool:
    """Return whether a row of a conflict stands for a key that doesn't exist."""
    return isinstance(row, dict) and row.get("Value") is None


def _find_foreign_key(
    rows: Collection[Any], *, prefix: str = "", keys: Collection[str] | None = None
) -> str | None:
    for row in rows:
        key = row.get("Key") if isinstance(row, dict) else None
        if not isinstance(key, str):
            return "a row without a key"
        if not key.startswith(prefix) or (keys is not None and key not in keys):
            return f"the key {key[:200]}"
    return None
