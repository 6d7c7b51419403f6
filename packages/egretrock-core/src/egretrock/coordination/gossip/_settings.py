"""Times of the membership protocol."""

import msgspec


class GossipSettings(msgspec.Struct, frozen=True):
    """Times of the protocol.

    Attributes:
        interval_s: Seconds between two pings of a node.
        answer_s: Seconds after which other nodes are asked to ping.
        suspect_s: Seconds from the ping after which a member is suspected.
        gone_s: Seconds for which a suspected member may refute.
        remember_s: Seconds for which a member that is gone still counts as
            part of the fleet; it may be behind a partition and in service.
        join_s: Seconds between two questions to the seeds while no other
            member is known.
        seek_s: The same once members are known; it joins fleets that started
            apart.
        compare_per_s: Members a second that a node asks for because another
            one knows more than it does. A fleet that starts at once has more
            news than travel with its pings.
        news_count: Records that travel with a message.
        helpers: Members asked to ping one that does not answer.
        stop_s: Seconds for which a member that stops as planned may go on
            serving.
        far: Members of other data centres pinged in each round, besides all
            of the own one. A large fleet keeps most pings inside its data
            centres, where a member is missed first.
    """

    interval_s: float = 0.25
    answer_s: float = 0.15
    suspect_s: float = 0.35
    gone_s: float = 0.6
    remember_s: float = 30.0
    join_s: float = 0.1
    seek_s: float = 1.0
    compare_per_s: float = 200.0
    news_count: int = 6
    helpers: int = 2
    stop_s: float = 6.0
    far: int = 12
