"""Generates the reference page of all settings.

Usage: `python -m heatherhead.settings.reference FILE`.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from types import NoneType, UnionType
from typing import TYPE_CHECKING, Any, Literal, Union, get_args, get_origin

from annotated_types import Ge, Gt, Le, Lt, MaxLen, MinLen
from pydantic import BaseModel
from pydantic_core import PydanticUndefined

from heatherhead.settings.schema import Settings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pydantic.fields import FieldInfo

__all__ = ["render_reference"]

_INTRODUCTION = """# Settings

A daemon reads one settings file, JSON with comments (`//` and `/* */`, trailing commas allowed).
All fields are optional unless they are marked as required: the file `{}` starts a daemon that
listens on the loopback interface and uses the embedded store. Unknown fields are refused.

`heatherheadd --check FILE` lists all problems of a file, each with its field, the reason and the
remedy, and warns of settings that are valid but may be a mistake. This page is generated from the
schema classes by `make docs`.
"""

_NAME_BY_TYPE = {
    bool: "true or false",
    int: "whole number",
    float: "number",
    str: "text",
}


def render_reference() -> str:
    """Render the page; a class that is used by several fields is described once."""
    paths_by_model: dict[type[BaseModel], list[str]] = {}
    for path, model in _iterate_models("", Settings):
        paths_by_model.setdefault(model, []).append(path)
    parts = [_INTRODUCTION]
    for model, paths in paths_by_model.items():
        parts.append(f"## {', '.join(paths) or 'Sections'}\n")
        parts.append(f"{(model.__doc__ or '').strip().splitlines()[0]}\n")
        parts.append(_table(model))
    return "\n".join(parts)


def _iterate_models(path: str, model: type[BaseModel]) -> Iterator[tuple[str, type[BaseModel]]]:
    """Iterate over a model and, recursively, the models of its fields, with their paths."""
    yield path, model
    for name, field in model.model_fields.items():
        inner = _model_of(field.annotation)
        if inner is not None:
            mark = "[]" if get_origin(field.annotation) is tuple else ""
            yield from _iterate_models(f"{path}.{name}{mark}".removeprefix("."), inner)


def _table(model: type[BaseModel]) -> str:
    rows = ["| field | value | default | meaning |", "|---|---|---|---|"]
    for name, field in model.model_fields.items():
        value = "; ".join((_type_name(field.annotation), *_bounds(field)))
        rows.append(f"| `{name}` | {value} | {_default(field)} | {field.description or ''} |")
    return "\n".join(rows) + "\n"


def _default(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return "required"
    default = field.default
    if isinstance(default, BaseModel):
        given = default.model_dump(mode="json", exclude_unset=True)
        return f"`{json.dumps(given)}`" if given else "all defaults"
    if isinstance(default, tuple):
        default = [
            (
                each.model_dump(mode="json", exclude_unset=True)
                if isinstance(each, BaseModel)
                else each
            )
            for each in default
        ]
    return "none" if default is None else f"`{json.dumps(default)}`"


def _bounds(field: FieldInfo) -> Iterator[str]:
    for item in field.metadata:
        match item:
            case Ge(ge=bound):
                yield f"at least {_number(bound)}"
            case Gt(gt=bound):
                yield f"greater than {_number(bound)}"
            case Le(le=bound):
                yield f"at most {_number(bound)}"
            case Lt(lt=bound):
                yield f"less than {_number(bound)}"
            case MinLen(min_length=bound):
                yield f"at least {bound} long"
            case MaxLen(max_length=bound):
                yield f"at most {bound} long"
            case _ if getattr(item, "pattern", None):
                yield f"form `{item.pattern}`".replace("|", "\\|")


def _number(bound: Any) -> str:
    return f"{bound:,}" if isinstance(bound, int) else f"{bound:g}"


def _type_name(annotation: Any) -> str:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return "object"
    if annotation in _NAME_BY_TYPE:
        return _NAME_BY_TYPE[annotation]
    origin = get_origin(annotation)
    arguments = [each for each in get_args(annotation) if each not in (NoneType, Ellipsis)]
    if origin is Literal:
        return ", ".join(f"`{each}`" for each in arguments)
    if origin is tuple:
        return f"list of {_type_name(arguments[0])}"
    if origin in (Union, UnionType):
        return _type_name(arguments[0])
    if hasattr(annotation, "__metadata__"):
        return _type_name(arguments[0])
    return "IP number"


def _model_of(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    found = (_model_of(each) for each in get_args(annotation))
    return next((each for each in found if each is not None), None)


if __name__ == "__main__":
    Path(sys.argv[1]).write_text(render_reference(), encoding="utf-8")
