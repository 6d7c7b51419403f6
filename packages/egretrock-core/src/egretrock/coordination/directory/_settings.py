"""Times of the directory, and the reads that it orders."""

import enum

import msgspec

from egretrock.state.ids import Revision


class DirectorySettings(msgspec.Struct, frozen=True):
    """Times of the directory.

    Attributes:
        readers: Nodes that read for the fleet.
        watch_s: Longest wait of a read for changes. A read that is cut off
            in silence is noticed only after it.
        pause_s: Pause of a reader between two reads, so that changes that
            come together are told together.
        stale_s: Age above which a node that is not a reader reads for itself.
        retry_s: Pause of a reader after a failed read.
        own_retry_s: The same for other nodes, doubled up to 4 times.
        want_s: Seconds between two questions for what a node has missed.
        first_read_s: Seconds from the start for which a node asks its peers
            before it reads everything itself; a fleet that starts at once
            would read once a node otherwise.
        first_want_s: Seconds between two such questions.
        outage_s: Age that counts as an outage of the platform.
        hold_s: Seconds after the end of an outage for which entries that
            went missing in it are kept; targets that live register again
            within that time.
        log_size: Changes kept for nodes that have missed some.
    """

    readers: int = 2
    watch_s: float = 0.5
    pause_s: float = 0.03
    stale_s: float = 0.9
    retry_s: float = 0.15
    own_retry_s: float = 0.4
    want_s: float = 0.25
    first_read_s: float = 0.6
    first_want_s: float = 0.05
    outage_s: float = 1.4
    hold_s: float = 2.2
    log_size: int = 500


class ReadKind(enum.Enum):
    """What to read from the platform."""

    WHOLE = "whole"
    CHANGES = "changes"


class ReadOrder(msgspec.Struct, frozen=True):
    """A read that the node shall make.

    Attributes:
        kind: What to read.
        after: Revision after which changes are wanted.
        wait_s: Seconds that the platform may wait for a change.
    """

    kind: ReadKind
    after: Revision = Revision(0)
    wait_s: float = 0.0
