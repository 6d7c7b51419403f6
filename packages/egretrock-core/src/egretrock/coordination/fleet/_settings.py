"""Settings of the fleet component."""

import msgspec

from egretrock.state.ids import NodeId

#: The node that gives a vote regards it as valid this many times longer than
#: the receiver does. It covers clocks whose rates differ by 1%.
CLOCK_RATE_FACTOR = 1.01
#: A larger limit or share is used after this many times ``freshness_s``. By
#: then nodes that have not learned of the change are no longer fresh.
INCREASE_DELAY_FACTOR = 1.5


class FleetSettings(msgspec.Struct, frozen=True):
    """Settings of one node's view of the fleet.

    Attributes:
        node: This node.
        freshness_s: Seconds for which the confirmation of a revision is valid.
        vote_s: Seconds for which a vote for a partition is valid.
        handover_s: Seconds after the start until all leases and grants of
            the node's previous process have ended.
        heartbeat_s: Mean seconds between heartbeats to a peer.
        alive_s: Seconds after its last heartbeat that a peer counts as
            alive.
        rebalance_s: Seconds for which the set of candidates must be
            unchanged before a holder moves partitions to other nodes.

    Example:
        >>> FleetSettings(NodeId("127.0.0.1:7000"), vote_s=1.0)
        Traceback (most recent call last):
        ...
        ValueError: vote_s is 1.0; it must be at least 3 x heartbeat_s, 3.0
        >>> FleetSettings(NodeId("127.0.0.1:7000"), vote_s=7.0)
        Traceback (most recent call last):
        ...
        ValueError: freshness_s is 4.0; it must be at least 4.71 for this vote_s
    """

    node: NodeId
    freshness_s: float = 4.0
    vote_s: float = 3.5
    handover_s: float = 3.0
    heartbeat_s: float = 1.0
    alive_s: float = 2.0
    rebalance_s: float = 30.0

    def __post_init__(self) -> None:
        """Checks the times.

        A vote is asked for, answered one heartbeat later and renewed one
        heartbeat after that, so shorter votes would expire in between. A VM
        list that was replaced is valid for ``increase_delay_s`` more, and
        votes given under it must have expired by then.

        Raises:
            ValueError: If a time is too short.
        """
        for name in ("freshness_s", "vote_s"):
            value, minimum_s = getattr(self, name), 3 * self.heartbeat_s
            if value < minimum_s:
                raise ValueError(
                    f"{name} is {value}; it must be at least "
                    f"3 x heartbeat_s, {minimum_s}"
                )
        if self.increase_delay_s < self.given_vote_s:
            raise ValueError(
                f"freshness_s is {self.freshness_s}; it must be at least "
                f"{self.given_vote_s / INCREASE_DELAY_FACTOR:.2f} "
                "for this vote_s"
            )
        for name in ("handover_s", "heartbeat_s", "alive_s", "rebalance_s"):
            value = getattr(self, name)
            if value <= 0:
                raise ValueError(f"{name} is {value}; it must be above 0")

    @property
    def increase_delay_s(self) -> float:
        """Seconds after a change until a larger limit or share may be used."""
        return self.freshness_s * INCREASE_DELAY_FACTOR

    @property
    def given_vote_s(self) -> float:
        """Seconds for which a voter gives its vote to no other process."""
        return self.vote_s * CLOCK_RATE_FACTOR
