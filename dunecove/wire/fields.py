"""Checked readers of decoded JSON values: each raises InvalidFieldError for a value of another type."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from dunecove.errors import InvalidFieldError, MissingFieldError

JsonObject = dict[str, Any]
_Choice = TypeVar("_Choice")


def required(fields: JsonObject, key: str) -> Any:
    """Return a field's value; MissingFieldError if there is none."""
    try:
        return fields[key]
    except KeyError:
        raise MissingFieldError(key) from None


def default_if_none(fields: JsonObject, key: str, default: float) -> Any:
    """Return the value of a field that may be absent or null, which mean `default`."""
    value = fields.get(key)
    return default if value is None else value


def as_choice(choices: Mapping[str, _Choice], value: object, key: str) -> _Choice:
    """Return what `choices` has for a name; InvalidFieldError if the name is not in it."""
    if not isinstance(value, str) or value not in choices:
        raise InvalidFieldError(f"unknown {key} {value!r}")
    return choices[value]


def as_number(value: object, key: str) -> float:
    """Return a number, as a float."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise InvalidFieldError(f"{key} is not a number: {value!r}")
    return float(value)


def as_integer(value: object, key: str) -> int:
    """Return a whole number."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidFieldError(f"{key} is not a whole number: {value!r}")
    return value


def as_string(value: object, key: str) -> str:
    """Return a string."""
    if not isinstance(value, str):
        raise InvalidFieldError(f"{key} is not a string: {value!r}")
    return value


def as_object(value: object, key: str) -> JsonObject:
    """Return a JSON object."""
    if not isinstance(value, dict):
        raise InvalidFieldError(f"{key} is not an object")
    return value


def as_array(value: object, key: str) -> list[Any]:
    """Return a JSON array."""
    if not isinstance(value, list):
        raise InvalidFieldError(f"{key} is not an array")
    return value


def as_objects(value: object, key: str) -> list[JsonObject]:
    """Return a JSON array of objects."""
    return [as_object(entry, key) for entry in as_array(value, key)]
