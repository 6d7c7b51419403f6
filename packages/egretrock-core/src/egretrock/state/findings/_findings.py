"""Checks a decoded tree against a type and reports every mismatch."""

import types
import typing
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec


class Finding(msgspec.Struct, frozen=True):
    """One error in a document.

    Attributes:
        path: Key path of the value, such as ``services.records.profile``.
        message: What is wrong, and what is allowed.
    """

    path: str
    message: str

    def __str__(self) -> str:
        """Returns the finding on one line."""
        return f"{self.path}: {self.message}" if self.path else self.message


def type_findings(value: Any, expected: Any, path: str = "") -> list[Finding]:
    """Returns a finding for each value that does not match a type.

    ``msgspec.convert`` stops at the first error. This function walks structs
    and mappings and converts each leaf on its own, so that it finds all errors.

    Args:
        value: Tree of mappings, lists and scalars.
        expected: Type that the tree must match, often a ``msgspec.Struct``.
        path: Key path of ``value``.

    Example:
        >>> type_findings({"a": "x", "b": 0}, dict[str, int])
        [Finding(path='a', message='Expected `int`, got `str`')]
    """
    return list(_walk(value, expected, path))


def _walk(value: Any, expected: Any, path: str) -> Iterator[Finding]:
    expected = _strip_none(value, expected)
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


def _strip_none(value: Any, expected: Any) -> Any:
    """Returns T for ``T | None`` where the value is not None."""
    if not isinstance(expected, types.UnionType) or value is None:
        return expected
    non_none_types = [
        t for t in typing.get_args(expected) if t is not types.NoneType
    ]
    return non_none_types[0] if len(non_none_types) == 1 else expected


def _struct_findings(
    value: Any, expected: type[msgspec.Struct], path: str
) -> Iterator[Finding]:
    if not isinstance(value, Mapping):
        yield Finding(path, _not_a_mapping_message(value))
        return
    fields = {f.encode_name: f for f in msgspec.structs.fields(expected)}
    if expected.__struct_config__.forbid_unknown_fields:
        for name in value.keys() - fields.keys():
            allowed = ", ".join(fields)
            message = f"unknown field; allowed are {allowed}"
            yield Finding(_join(path, name), message)
    for name, field in fields.items():
        field_path = _join(path, name)
        if name in value:
            yield from _walk(value[name], field.type, field_path)
        elif field.required:
            yield Finding(field_path, "missing, and there is no default")


def _mapping_findings(
    value: Any, expected: Any, path: str
) -> Iterator[Finding]:
    if not isinstance(value, Mapping):
        yield Finding(path, _not_a_mapping_message(value))
        return
    key_type, entry_type = typing.get_args(expected)
    for key, entry in value.items():
        entry_path = _join(path, key)
        try:
            msgspec.convert(key, key_type)
        except msgspec.ValidationError as error:
            yield _leaf_finding(entry_path, key, error)
        yield from _walk(entry, entry_type, entry_path)


def _leaf_finding(
    path: str, value: Any, error: msgspec.ValidationError
) -> Finding:
    message, _, inner_path = str(error).partition(" - at `")
    inner_path = inner_path.rstrip("`").removeprefix("$").lstrip(".")
    message = message.replace("Expected `object`", "Expected a mapping")
    if isinstance(value, str | int | float) and "got `" not in message:
        message = f"{message}, got {value!r}"
    return Finding(_join(path, inner_path) if inner_path else path, message)


def _not_a_mapping_message(value: Any) -> str:
    return f"expected a mapping, got a {type(value).__name__}"


def _join(path: str, name: object) -> str:
    return f"{path}.{name}" if path else str(name)
