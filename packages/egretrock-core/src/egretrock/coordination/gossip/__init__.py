"""Membership and failure detection by gossip, without a list of nodes.

The protocol is SWIM: Das, Gupta and Motivala, "SWIM: Scalable Weakly
consistent Infection-style process group Membership", DSN 2002. Each node
pings one other node at a time, so the cost per node does not depend on the
number of nodes.
"""

from egretrock.coordination.gossip._membership import Member, Membership
from egretrock.coordination.gossip._messages import (
    GOSSIP_MESSAGES,
    Ack,
    MemberRecord,
    MemberState,
    Ping,
    PingRequest,
    SyncAnswer,
    SyncRequest,
)
from egretrock.coordination.gossip._settings import GossipSettings

__all__ = [
    "GOSSIP_MESSAGES",
    "Ack",
    "GossipSettings",
    "Member",
    "MemberRecord",
    "MemberState",
    "Membership",
    "Ping",
    "PingRequest",
    "SyncAnswer",
    "SyncRequest",
]
