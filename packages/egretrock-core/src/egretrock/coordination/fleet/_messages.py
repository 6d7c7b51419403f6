"""Messages of the fleet part, and the text form of a set of partitions."""

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
    """What a process says about itself.

    Attributes:
        ESTABLISHED: It has caught up with the fleet since its start; its
            answers confirm and its votes count.
        CANDIDATE: It may hold partitions.
        SETTLED: It knows that no earlier VM list counts.
        CHANGING: It knows of an earlier VM list that counts.
        RELEASED: It uses no partition and never will again.
    """

    ESTABLISHED = 1
    CANDIDATE = 2
    SETTLED = 4
    RELEASED = 8
    CHANGING = 16


#: Flags of a node in ordinary operation; not encoded, to save bytes.
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
    """Question to a peer and answer to the peer's latest question.

    Attributes:
        question: Id of the question; it increases within a process.
        answered: Id of the latest question received from the peer, or 0.
        config_seen: Highest revision of the configuration that the sender
            has checked, whether accepted or refused; 0 without one.
        vms_in_force: Revision of the VM list in force; 0 without one.
        vms_seen: Highest revision of the VM list checked, where it is
            not the one in force; otherwise 0.
        flags: ``NodeFlag`` bits.
        held: Partitions that the sender holds, as text.
        votes: Partitions for which the sender votes for the peer, as text.
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
    """The sender no longer uses votes for these partitions.

    Attributes:
        last_question: Latest question of the sender. Votes that answer a
            later question are not released, so a late or repeated message
            frees no vote in use.
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
    """Returns the partitions of a text; unknown characters are skipped.

    Example:
        >>> sorted(parse_partitions("aB_"))
        [0, 27, 63]
    """
    return frozenset(_NUMBER[c] for c in text if c in _NUMBER)
