"""Validates decoded JSON values: the `as_` functions raise InvalidFieldError for other types."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from dunecove.errors import InvalidFieldError, MissingFieldError

JsonObject = dict[str, Any]
_Choice = TypeVar("_Choice")


def required(fields: JsonObject, key: str) -> Any:
    """Return the value of a field; raise MissingFieldError if it is absent."""
    try:
        return fields[key]
    except KeyError:
        raise MissingFieldError(key) from None


def default_if_none(fields: JsonObject, key: str, default: float) -> Any:
    """Return the value of a field, or `default` if it is absent or null."""
    value = fields.get(key)
    return default if value is None else value


def as_choice(choices: Mapping[str, _Choice], value: object, key: str) -> _Choice:
    """Return the value of `choices` for a name; raise InvalidFieldError if the name is not in it."""
    if not isinstance(value, str) or value not in choices:
        raise InvalidFieldError(f"{key} has an unknown value: {value!r}")
    return choices[value]


def as_number(value: object, key: str) -> float:
    """Return a JSON number as a float."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise InvalidFieldError(f"{key} is not a number: {value!r}")
    return float(value)


def as_integer(value: object, key: str) -> int:
    """Return a JSON integer."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidFieldError(f"{key} is not an integer: {value!r}")
    return value


def as_string(value: object, key: str) -> str:
    """Return a JSON string."""
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
    """Return a JSON array of objects; the error for an entry of another type names the array's `key`."""
    return [as_object(entry, key) for entry in as_array(value, key)]
