"""Messages of the fleet component, and sets of partitions as text."""

import enum
import string
from collections.abc import Iterable

from egretrock.coordination.base import Message
from egretrock.state.ids import Revision

#: One character per partition. A node of a fleet of 18 holds about four
#: partitions, so this is shorter than a 64-bit mask in hex.
_ALPHABET = string.ascii_letters + string.digits + "-_"
_NUMBER = {character: n for n, character in enumerate(_ALPHABET)}


class NodeFlag(enum.IntFlag):
    """State of a process, as reported in its heartbeats.

    Attributes:
        ESTABLISHED: The process has caught up with the fleet since its
            start; its answers confirm revisions and its votes count.
        CANDIDATE: The process may hold partitions.
        SETTLED: The process is certain that no earlier VM list is valid.
        CHANGING: The process has an earlier VM list that is still valid.
        RELEASED: The process has given up all partitions permanently.
    """

    ESTABLISHED = 1
    CANDIDATE = 2
    SETTLED = 4
    RELEASED = 8
    CHANGING = 16


#: Flags of a node in normal operation; left out of messages to save bytes.
ORDINARY_FLAGS = (
    NodeFlag.ESTABLISHED | NodeFlag.CANDIDATE | NodeFlag.SETTLED
).value


class Heartbeat(
    Message,
    frozen=True,
    tag="fleet.heartbeat",
    omit_defaults=True,
    rename={
        "question": "q",
        "answered": "a",
        "config_seen": "c",
        "vms_in_force": "m",
        "vms_seen": "s",
        "flags": "f",
        "held": "h",
        "votes": "v",
    },
):
    """Question to a peer, and answer to the peer's latest question.

    Attributes:
        question: Id of the question; it increases within a process.
        answered: Id of the latest question received from the peer, or 0.
        config_seen: Highest revision of the configuration that the sender
            has checked, whether accepted or refused; 0 if none.
        vms_in_force: Revision of the VM list in force; 0 if none.
        vms_seen: Highest revision of the VM list checked, if it is not the
            one in force; otherwise 0.
        flags: ``NodeFlag`` bits.
        held: Partitions that the sender holds, as text.
        votes: Partitions for which the receiver has the sender's vote, as
            text.
    """

    question: int
    answered: int = 0
    config_seen: Revision = Revision(0)
    vms_in_force: Revision = Revision(0)
    vms_seen: Revision = Revision(0)
    flags: int = ORDINARY_FLAGS
    held: str = ""
    votes: str = ""

    def has(self, flag: NodeFlag) -> bool:
        """Returns whether the sender set ``flag``."""
        return bool(self.flags & flag)


class Release(
    Message,
    frozen=True,
    tag="fleet.release",
    rename={"last_question": "q", "partitions": "p"},
):
    """Releases the votes that the sender received for some partitions.

    Attributes:
        last_question: Latest question of the sender. Votes that answer a
            later question are not released, so a late or repeated message
            releases no vote in use.
        partitions: The partitions as text.
    """

    last_question: int
    partitions: str


def format_partitions(partitions: Iterable[int]) -> str:
    """Returns the text form of a set of partitions.

    Example:
        >>> format_partitions([0, 27, 63])
        'aB_'
    """
    return "".join(_ALPHABET[p] for p in sorted(partitions))


def parse_partitions(text: str) -> frozenset[int]:
    """Returns the partitions of a text; unknown characters are ignored.

    Example:
        >>> sorted(parse_partitions("aB_"))
        [0, 27, 63]
    """
    return frozenset(_NUMBER[c] for c in text if c in _NUMBER)
