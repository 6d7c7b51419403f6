"""Settings of the membership protocol."""

import msgspec


class GossipSettings(msgspec.Struct, frozen=True):
    """Times and sizes of the protocol.

    Attributes:
        interval_s: Seconds between two periodic pings of a node.
        answer_s: Seconds without an ack after which other members are asked
            to ping the member (indirect ping).
        suspect_s: Seconds from the ping after which a member without an ack
            is suspected.
        gone_s: Seconds in which a suspected member may refute the suspicion.
        remember_s: Seconds for which a member that left is remembered, and
            for which a member that is gone counts as part of the fleet in
            any case.
        lost_s: Seconds for which a member that is gone counts as part of the
            fleet if it may be serving on the other side of a partition, and
            for which a new process that does not reach its seeds may have
            started on such a side.
        forgotten_ratio: Part of the fleet that may be forgotten after
            ``remember_s``, because its data centre is reached without it.
            Single nodes that are partitioned off grant their parts of rates
            besides the others, so it must fit into the margin of the rates.
        max_gone_count: Most members that are gone and remembered.
        join_s: Seconds between the first two pings of the seeds while no
            other member is known; the interval doubles with each ping.
        max_join_s: Longest interval between these pings. Seeds on which a
            whole fleet calls at once answer late, and more pings would make
            them later.
        seek_s: Seconds between two pings of a missing seed or a gone member
            once members are known; they merge fleets that started apart.
        sync_s: Seconds between two comparisons of member lists with peers
            of the same data centre, while the lists differ.
        max_sync_s: Longest interval between these; it doubles with each
            comparison that brings nothing new.
        remote_syncs_per_s: Comparisons per second with other data centres by
            all nodes of a data centre together.
        sync_answers_per_s: Comparisons that a node answers per second.
        records_per_message: Member records piggybacked on a message.
        helpers: Members asked to ping a member that does not answer.
        stop_s: Seconds for which a member that announced that it leaves may
            still serve.
        remote_peer_count: Members of other data centres pinged in each
            round, besides all members of this node's data centre. In a
            large fleet most pings thus stay inside the data centres, where a
            failed member is detected first.
    """

    interval_s: float = 0.25
    answer_s: float = 0.15
    suspect_s: float = 0.35
    gone_s: float = 0.6
    remember_s: float = 30.0
    lost_s: float = 7200.0
    forgotten_ratio: float = 1 / 16
    max_gone_count: int = 2000
    join_s: float = 0.1
    max_join_s: float = 0.4
    seek_s: float = 1.0
    sync_s: float = 0.1
    max_sync_s: float = 0.4
    remote_syncs_per_s: float = 8.0
    sync_answers_per_s: float = 20.0
    records_per_message: int = 6
    helpers: int = 2
    stop_s: float = 6.0
    remote_peer_count: int = 12
