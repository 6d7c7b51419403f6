"""Settings of the directory, and the reads that it requests."""

import enum

import msgspec

from egretrock.coordination.directory._messages import NO_POSITION, Position


class DirectorySettings(msgspec.Struct, frozen=True):
    """Times and sizes of the directory.

    Attributes:
        reader_count: Nodes that read from the platform for the fleet.
        successor_count: Nodes next in order, which read for the fleet while
            no updates arrive.
        watch_s: Longest wait of a long poll for changes. A connection that
            is lost without a reset is noticed only after this time.
        pause_s: Pause of a reader between two reads, so that changes that
            come close together are sent together.
        stale_s: Age of the entries above which a node that is not a reader
            reads from the platform itself.
        successor_ratio: Share of ``stale_s`` after which a successor reads.
        refresh_ratio: Share of ``stale_s`` after which a node asks a peer
            for newer entries.
        settle_s: Seconds for which a node has been a reader before it reads
            while updates of others arrive. The view of a node that has just
            started is incomplete and names the wrong readers.
        retry_s: Pause after a failed read, for a reader and for a node
            without entries.
        non_reader_retry_s: Pause of other nodes after a failed read; it
            doubles with each further failure, up to 4 times this value.
        request_interval_s: Seconds between two requests to peers for missed
            changes.
        first_read_s: Seconds from the start for which a node asks its peers
            before it reads everything from the platform itself. Otherwise each
            node of a fleet that starts at the same time would read it.
        urgent_first_read_s: The same for a node at which callers wait.
        first_read_spread_s: Seconds for each known member over which the
            first reads of nodes that know members are spread.
        first_request_interval_s: Seconds between two requests to peers
            within ``first_read_s``.
        snapshots_per_s: Snapshots that a node sends to peers per second.
        outage_s: Age of the entries that counts as an outage of the platform.
        hold_s: Seconds after the end of an outage for which entries that
            were removed in it are still served; live targets register again
            within that time.
        restore_hold_s: Seconds for which older values of a restored platform
            do not replace known ones. By then the entry of a target that has
            gone lapses.
        removal_memory_s: Seconds for which removals are remembered, so that
            a restore does not bring a removed target back. Copies that are
            older than this do.
        log_size: Changes kept for nodes that have missed some.
    """

    reader_count: int = 2
    successor_count: int = 4
    watch_s: float = 0.5
    pause_s: float = 0.03
    stale_s: float = 0.9
    successor_ratio: float = 0.8
    refresh_ratio: float = 0.7
    settle_s: float = 1.0
    retry_s: float = 0.15
    non_reader_retry_s: float = 0.4
    request_interval_s: float = 0.25
    first_read_s: float = 0.6
    urgent_first_read_s: float = 0.06
    first_read_spread_s: float = 0.004
    first_request_interval_s: float = 0.03
    snapshots_per_s: float = 12.0
    outage_s: float = 1.4
    hold_s: float = 2.2
    restore_hold_s: float = 5.0
    removal_memory_s: float = 60.0
    log_size: int = 500


class FirstRead(enum.Enum):
    """Urgency of the first read of a node without entries."""

    IMMEDIATE = "immediate"  # without waiting for peers
    URGENT = "urgent"  # after a short wait: callers wait for this node
    RELAXED = "relaxed"


class ReadKind(enum.Enum):
    """What to read from the platform."""

    SNAPSHOT = "whole"
    CHANGES = "changes"


class ReadRequest(msgspec.Struct, frozen=True):
    """A read from the platform that the node must make.

    Attributes:
        kind: What to read.
        after: Position after which changes are requested.
        wait_s: Seconds that the platform may wait for a change.
    """

    kind: ReadKind
    after: Position = NO_POSITION
    wait_s: float = 0.0
