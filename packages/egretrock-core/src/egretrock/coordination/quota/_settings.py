"""How a rate is divided."""

import msgspec


class QuotaSettings(msgspec.Struct, frozen=True):
    """How a rate is divided.

    Attributes:
        local_ratio: Part of a rate that the nodes divide among themselves.
        pooled_ratio: Part of a rate that the home hands out. Both parts may
            add up to more than 1 where the bound has an overage.
        slack: Requests beyond the burst that a home may hand out.
        local_slack: Requests beyond the burst that the nodes divide, so that
            a quiet node can admit a first request without its home.
        ask_s: Seconds for which an answer is awaited.
        tokens_s: Seconds for which tokens of an answer may be used.
        ahead_s: Seconds of the node's own demand that an ask covers.
        suspect_s: Seconds for which a silent home is passed over.
        longest_wait_s: Longest time that the home may name until it has a
            token, for which a request waits and is not refused.
        credit_s: Seconds of the rate that a new home hands out at once; it
            counts what was not used while no home was known.
        assumed_nodes: Size of the fleet that a node assumes while it knows
            no other node.
    """

    local_ratio: float = 0.15
    pooled_ratio: float = 0.95
    slack: float = 0.0
    local_slack: float = 0.0
    ask_s: float = 0.06
    tokens_s: float = 0.4
    ahead_s: float = 0.15
    suspect_s: float = 1.0
    longest_wait_s: float = 0.12
    credit_s: float = 0.0
    assumed_nodes: int = 10
