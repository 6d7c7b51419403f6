"""Reads YAML documents and reports findings with file and line."""

import itertools
import math
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec
import yaml

from egretrock.state.config import is_address
from egretrock.state.findings import Finding, type_findings
from egretrock_node.settings._model import Settings

_MAX_FILE_BYTES = 1_048_576
#: A file may repeat a value by aliases, and so stand for far more values than
#: it has bytes.
_MAX_VALUES = 100_000


class PlacedFinding(msgspec.Struct, frozen=True):
    """A finding with its file and line.

    Attributes:
        file: Path of the file, as given by the caller.
        line: Line, counted from 1; 0 if unknown.
        path: Key path of the value, such as ``node.peer_address``.
        message: The value found and what is allowed.
    """

    file: str
    line: int
    path: str
    message: str

    def __str__(self) -> str:
        """Returns the finding as one line of text."""
        location = f"{self.file}:{self.line}" if self.line else self.file
        path = f" {self.path}:" if self.path else ""
        return f"{location}:{path} {self.message}"


class SettingsReport(msgspec.Struct, frozen=True):
    """Result of a check: valid settings, or the findings against them."""

    value: Settings | None
    findings: list[PlacedFinding]


class DocumentError(Exception):
    """A file that cannot be read or is not valid YAML."""

    def __init__(self, finding: PlacedFinding) -> None:
        super().__init__(str(finding))
        self.finding = finding


def load_tree(file: pathlib.Path) -> tuple[Any, dict[str, int]]:
    """Reads a YAML or JSON file.

    Returns:
        The decoded tree, and the line of each key path.

    Raises:
        DocumentError: If the file cannot be read, is too large, is not YAML,
            or has a duplicate key.
    """
    name = str(file)
    try:
        with file.open("rb") as opened:
            raw = opened.read(_MAX_FILE_BYTES + 1)
        text = raw.decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise DocumentError(PlacedFinding(name, 0, "", reason)) from error
    if len(raw) > _MAX_FILE_BYTES:
        message = f"more than {_MAX_FILE_BYTES} bytes"
        raise DocumentError(PlacedFinding(name, 0, "", message))
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        if root is not None and _count_values(root, {}) > _MAX_VALUES:
            message = f"its aliases stand for more than {_MAX_VALUES} values"
            raise DocumentError(PlacedFinding(name, 0, "", message))
        tree = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise DocumentError(_yaml_finding(name, error)) from error
    except RecursionError as error:
        message = "not YAML: nested too deeply"
        raise DocumentError(PlacedFinding(name, 0, "", message)) from error
    lines: dict[str, int] = {}
    if root is not None:
        for path, node in _walk_keys(root, ""):
            line = node.start_mark.line + 1
            if path in lines:
                message = f"key given twice, first on line {lines[path]}"
                raise DocumentError(PlacedFinding(name, line, path, message))
            lines[path] = line
    return tree, lines


def place_findings(
    file: pathlib.Path, lines: dict[str, int], findings: Iterable[Finding]
) -> list[PlacedFinding]:
    """Adds file and line to findings and sorts them by line.

    A finding about a missing key gets the line of its section.
    """
    placed = [
        PlacedFinding(str(file), _line_of(f.path, lines), f.path, f.message)
        for f in findings
    ]
    return sorted(placed, key=lambda finding: (finding.line, finding.path))


def load_settings(file: pathlib.Path) -> SettingsReport:
    """Reads and checks a settings file; reports its findings together.

    Addresses are checked only if all fields are well-formed.
    """
    try:
        tree, lines = load_tree(file)
    except DocumentError as error:
        return SettingsReport(None, [error.finding])
    findings = type_findings(tree, Settings)
    if not findings:
        settings = msgspec.convert(tree, Settings)
        findings = list(_value_findings(settings))
    if findings:
        return SettingsReport(None, place_findings(file, lines, findings))
    return SettingsReport(settings, [])


def _value_findings(settings: Settings) -> Iterator[Finding]:
    addresses = {
        "node.peer_address": settings.node.peer_address,
        "caller_address": settings.caller_address,
        "operator_address": settings.operator_address,
        "platform.address": settings.platform.address,
    }
    if settings.statsd_address is not None:
        addresses["statsd_address"] = settings.statsd_address
    for path, address in addresses.items():
        if not is_address(address):
            message = f"{address!r} is not an address; allowed is 'ip:port'"
            yield Finding(path, message)
    # Only these three are TCP listeners of this process; the platform and
    # statsd are remote servers.
    listeners = list(addresses)[:3]
    for index, path in enumerate(listeners):
        for other in listeners[:index]:
            if addresses[path] == addresses[other]:
                message = f"{addresses[path]!r} is the value of {other} too"
                yield Finding(path, message)


def _count_values(node: yaml.Node, counts: dict[int, float]) -> float:
    """Returns how many values a node stands for, with its aliases replaced.

    Infinite for a node that contains itself. Each node is counted once, though
    aliases may use it exponentially often.
    """
    known = counts.get(id(node))
    if known is not None:
        return known
    counts[id(node)] = math.inf
    children: Iterable[yaml.Node] = ()
    if isinstance(node, yaml.MappingNode):
        children = itertools.chain.from_iterable(node.value)
    elif isinstance(node, yaml.SequenceNode):
        children = node.value
    counts[id(node)] = 1 + sum(_count_values(c, counts) for c in children)
    return counts[id(node)]


def _walk_keys(node: yaml.Node, path: str) -> Iterator[tuple[str, yaml.Node]]:
    if not isinstance(node, yaml.MappingNode):
        return
    for key, value in node.value:
        key_path = f"{path}.{key.value}" if path else str(key.value)
        yield key_path, key
        yield from _walk_keys(value, key_path)


def _line_of(path: str, lines: dict[str, int]) -> int:
    while path and path not in lines:
        path = path.rpartition(".")[0]
    return lines.get(path, 0)


def _yaml_finding(file: str, error: yaml.YAMLError) -> PlacedFinding:
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark else 0
    problem = getattr(error, "problem", None) or str(error)
    return PlacedFinding(file, line, "", f"not YAML: {problem}")
