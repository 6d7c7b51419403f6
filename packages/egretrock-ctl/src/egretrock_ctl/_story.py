"""Log records of one request, and the state of its nodes at the time."""

import collections
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

#: Records of a node's state. The latest of each kind before a request's record
#: is what the node's decision was based on.
_NODE_STATE_MESSAGES = (
    "started",
    "configuration in force",
    "platform lost",
    "platform regained",
    "member",
    "reads for the fleet",
    "reads no more",
    "stop started",
    "lines left out",
)
_COMMON_FIELDS = frozenset(
    {"time", "level", "channel", "message", "request_id"}
)


class StoryLine(msgspec.Struct, frozen=True):
    """One line of a story.

    Attributes:
        time: Time of the node's wall clock.
        source: Last word before the record on its line, such as the name of
            the node.
        message: Event name.
        fields: Inputs and outcome.
        is_node_state: Whether it is about the node's state, not the request.
    """

    time: str
    source: str
    message: str
    fields: dict[str, Any]
    is_node_state: bool = msgspec.field(default=False, name="is_belief")

    def __str__(self) -> str:
        """Returns the line as text."""
        mark = "  knew: " if self.is_node_state else ""
        fields = ", ".join(f"{k} {v}" for k, v in self.fields.items())
        return f"{self.time} {self.source}{mark}{self.message}: {fields}"


def build_story(lines: Iterable[str], request_id: str) -> list[StoryLine]:
    """Returns the lines that explain a request, in the order of time.

    Args:
        lines: Lines of one or more logs; each has one JSON record, possibly
            after a time and a name. Other lines are skipped.
        request_id: Id of the request.
    """
    states: dict[str, dict[str, StoryLine]] = collections.defaultdict(dict)
    included: dict[str, dict[str, StoryLine]] = collections.defaultdict(dict)
    story: list[StoryLine] = []
    for source, record in _records(lines):
        message = record.get("message", "")
        is_node_state = message in _NODE_STATE_MESSAGES
        if not is_node_state and record.get("request_id") != request_id:
            continue
        fields = {k: v for k, v in record.items() if k not in _COMMON_FIELDS}
        time = str(record.get("time", ""))
        line = StoryLine(time, source, message, fields, is_node_state)
        if is_node_state:
            states[source][message] = line
            continue
        for kind, state in states[source].items():
            if included[source].get(kind) is not state:
                included[source][kind] = state
                story.append(state)
        story.append(line)
    return sorted(story, key=lambda line: line.time)


def _records(lines: Iterable[str]) -> Iterator[tuple[str, dict[str, Any]]]:
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(record, dict):
            prefix = line[:start].split()
            yield (prefix[-1] + " " if prefix else ""), record
