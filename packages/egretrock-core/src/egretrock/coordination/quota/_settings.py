"""Settings of the rate limits of organisations."""

import msgspec


class QuotaSettings(msgspec.Struct, frozen=True):
    """How a rate is divided between the nodes and the home.

    Attributes:
        local_ratio: Fraction of a rate that the nodes divide evenly.
        pooled_ratio: Fraction of a rate that the home grants on request. The
            two fractions may add up to more than 1 if the bound allows an
            overage.
        slack: Requests beyond the burst that a home may grant.
        local_slack: Requests beyond the burst that the nodes divide, so that
            an idle node can admit a first request without asking its home.
        ask_timeout_s: Seconds before an unanswered ask times out.
        token_lifetime_s: Seconds for which granted tokens may be used.
        prefetch_s: Seconds of the node's expected demand that an ask covers.
        suspect_s: Seconds for which an unresponsive home is not asked.
        max_wait_s: Longest wait for the home's next token for which a
            request is held back instead of refused.
        credit_s: Seconds of the rate that a new home may grant at once, for
            what went unused while no home was known.
        assumed_nodes: Fleet size that a node assumes while it knows no other
            node.
    """

    local_ratio: float = 0.15
    pooled_ratio: float = 0.95
    slack: float = 0.0
    local_slack: float = 0.0
    ask_timeout_s: float = 0.06
    token_lifetime_s: float = 0.4
    prefetch_s: float = 0.15
    suspect_s: float = 1.0
    max_wait_s: float = 0.12
    credit_s: float = 0.0
    assumed_nodes: int = 10
