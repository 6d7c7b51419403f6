"""Checks a decoded tree against typed structs without stopping early."""

import types
import typing
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec


class Finding(msgspec.Struct, frozen=True):
    """One fault of a document.

    Attributes:
        path: Key path of the value, such as ``services.records.profile``.
        message: The value received and what is allowed.
    """

    path: str
    message: str

    def __str__(self) -> str:
        """Returns the finding on one line."""
        return f"{self.path}: {self.message}" if self.path else self.message


def type_findings(value: Any, expected: Any, path: str = "") -> list[Finding]:
    """Returns all places where a tree does not fit a type.

    ``msgspec.convert`` stops at the first fault; this walks structs and
    mappings and converts each leaf on its own, so that all faults are found.

    Args:
        value: Tree of mappings, lists and scalars.
        expected: Type that the tree must fit, often a ``msgspec.Struct``.
        path: Key path of ``value``.

    Example:
        >>> type_findings({"a": "x", "b": 0}, dict[str, int])
        [Finding(path='a', message='Expected `int`, got `str`')]
    """
    return list(_walk(value, expected, path))


def _walk(value: Any, expected: Any, path: str) -> Iterator[Finding]:
    expected = _without_none(value, expected)
    if isinstance(expected, type) and issubclass(expected, msgspec.Struct):
        yield from _struct_findings(value, expected, path)
        return
    if typing.get_origin(expected) is dict:
        yield from _mapping_findings(value, expected, path)
        return
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        yield _leaf_finding(path, value, error)


def _without_none(value: Any, expected: Any) -> Any:
    """Returns T for ``T | None`` where the value is not None."""
    if not isinstance(expected, types.UnionType) or value is None:
        return expected
    others = [t for t in typing.get_args(expected) if t is not types.NoneType]
    return others[0] if len(others) == 1 else expected


def _struct_findings(
    value: Any, expected: type[msgspec.Struct], path: str
) -> Iterator[Finding]:
    if not isinstance(value, Mapping):
        yield Finding(path, _not_a_mapping(value))
        return
    fields = {f.encode_name: f for f in msgspec.structs.fields(expected)}
    if expected.__struct_config__.forbid_unknown_fields:
        for name in value.keys() - fields.keys():
            allowed = ", ".join(fields)
            message = f"unknown field; allowed are {allowed}"
            yield Finding(_join(path, name), message)
    for name, field in fields.items():
        place = _join(path, name)
        if name in value:
            yield from _walk(value[name], field.type, place)
        elif field.required:
            yield Finding(place, "missing, and there is no default")


def _mapping_findings(
    value: Any, expected: Any, path: str
) -> Iterator[Finding]:
    if not isinstance(value, Mapping):
        yield Finding(path, _not_a_mapping(value))
        return
    key_type, entry_type = typing.get_args(expected)
    for key, entry in value.items():
        place = _join(path, key)
        try:
            msgspec.convert(key, key_type)
        except msgspec.ValidationError as error:
            yield _leaf_finding(place, key, error)
        yield from _walk(entry, entry_type, place)


def _leaf_finding(
    path: str, value: Any, error: msgspec.ValidationError
) -> Finding:
    message, _, place = str(error).partition(" - at `")
    place = place.rstrip("`").removeprefix("$").lstrip(".")
    message = message.replace("Expected `object`", "Expected a mapping")
    if isinstance(value, str | int | float) and "got `" not in message:
        message = f"{message}, got {value!r}"
    return Finding(_join(path, place) if place else path, message)


def _not_a_mapping(value: Any) -> str:
    return f"expected a mapping, got a {type(value).__name__}"


def _join(path: str, name: object) -> str:
    return f"{path}.{name}" if path else str(name)
