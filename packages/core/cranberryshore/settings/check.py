"""Validation of documents against attrs classes, reporting every error with its path."""

import types
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

import attrs
import msgspec
import pyjson5
from result import Err, Ok, Result

from cranberryshore.errors import SettingsError

T = TypeVar("T")

MAX_VALUE_CHARACTERS = 60
"""Length to which values and parser messages in errors are shortened."""


def parse_document(text: str) -> Result[Any, list[SettingsError]]:
    """Parse JSON with comments.

    Examples
    --------
    >>> parse_document('{"a": 1, /* note */}').unwrap()
    {'a': 1}
    """
    try:
        return Ok(pyjson5.decode(text))
    except pyjson5.Json5Exception as error:
        return Err([SettingsError("$", str(error)[:MAX_VALUE_CHARACTERS], "JSON with comments")])


def check_document(document: Any, type_: type[T]) -> Result[T, list[SettingsError]]:
    """Validate a parsed document and convert it to ``type_``.

    ``type_`` is an attrs class whose annotations give the types and bounds of its fields.

    Returns
    -------
    Result
        The converted object, or all errors found.

    Examples
    --------
    >>> @attrs.frozen
    ... class Point:
    ...     x: int
    >>> [str(fault) for fault in check_document({"x": "1", "y": 2}, Point).unwrap_err()]
    ['$.y: got 2, expected no such field; known: x', "$.x: got '1', expected int"]
    """
    faults = _find_errors(document, type_, "$")
    if faults:
        return Err(faults)
    try:
        # Also runs the validators of the attrs classes, which _find_errors does not.
        return Ok(msgspec.convert(document, type_))
    except (msgspec.ValidationError, ValueError) as error:
        return Err([SettingsError("$", _abbreviate(document), str(error))])


def _abbreviate(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= MAX_VALUE_CHARACTERS else text[: MAX_VALUE_CHARACTERS - 3] + "..."


def _find_errors(value: Any, type_: Any, path: str) -> list[SettingsError]:
    type_ = _unwrap_optional(value, type_)
    if attrs.has(type_):
        return _find_object_errors(value, type_, path)
    item_type = _tuple_item_type(type_)
    if item_type is not None and isinstance(value, list):
        faults = []
        for index, item in enumerate(value):
            faults += _find_errors(item, item_type, f"{path}[{index}]")
        return faults
    try:
        msgspec.convert(value, type_)
    except msgspec.ValidationError as error:
        # Example of a message: Expected `int`, got `str`
        expected = str(error).removeprefix("Expected ").split(", got")[0].replace("`", "")
        return [SettingsError(path, _abbreviate(value), expected)]
    return []


def _find_object_errors(value: Any, type_: type, path: str) -> list[SettingsError]:
    if not isinstance(value, dict):
        return [SettingsError(path, _abbreviate(value), "an object")]
    hints = get_type_hints(type_, include_extras=True)
    fields = {field.name: field for field in attrs.fields(type_)}
    faults = []
    for name in value:
        if name not in fields:
            known = ", ".join(fields)
            expected = f"no such field; known: {known}"
            faults.append(SettingsError(f"{path}.{name}", _abbreviate(value[name]), expected))
    for name, field in fields.items():
        if name in value:
            faults += _find_errors(value[name], hints[name], f"{path}.{name}")
        elif field.default is attrs.NOTHING:
            faults.append(SettingsError(f"{path}.{name}", "nothing", "a value"))
    return faults


def _unwrap_optional(value: Any, type_: Any) -> Any:
    """Return ``X`` for the type ``X | None`` if ``value`` is not ``None``, else ``type_``."""
    if get_origin(type_) in (Union, types.UnionType) and value is not None:
        others = [member for member in get_args(type_) if member is not type(None)]
        if len(others) == 1:
            return others[0]
    return type_


def _tuple_item_type(type_: Any) -> Any:
    if get_origin(type_) is tuple:
        members = get_args(type_)
        if len(members) == 2 and members[1] is Ellipsis:
            return members[0]
    return None
