"""Settings of the bounds of targets."""

import msgspec


class BoundSettings(msgspec.Struct, frozen=True):
    """How the requests that a bound allows are handed out.

    In a window of t seconds, the nodes that know a bound of R requests per
    second send at most R x (t + ``token_lifetime_s`` + the validity of a
    permit) + the burst. An overlap of two homes adds R x its duration.

    Attributes:
        burst_s: Seconds of the bound that the home may grant at once, beside
            one request.
        token_lifetime_s: Seconds for which a granted token may be used.
        ask_timeout_s: Seconds before an unanswered ask times out.
        silence_s: Seconds after which a home that did not answer is asked
            again.
        max_wait_s: Longest time after which a node may ask an empty home
            again.
        lift_delay_s: Seconds after the last known answer with a limit for
            which answers without one do not lift it. Answers of one target
            overtake each other on their way to different nodes.
        min_rate_per_s: Rate at which a target is sent requests however low
            its limit is, so that an answer can tell when the limit ends.
        warm_up_ratio: Share of the rate of a cold target that is used. The
            bound on cold targets holds in windows of one second, which is
            short beside the lifetime of tokens.
        news_interval_s: Shortest time between two announcements of the bound
            of one target by its home.
        changed_ratio: Relative change of a rate that is announced.
        assumed_nodes: Fleet size that a recently started home assumes while
            it does not reach half of its seeds.
    """

    burst_s: float = 0.25
    token_lifetime_s: float = 0.4
    ask_timeout_s: float = 0.06
    silence_s: float = 0.1
    max_wait_s: float = 2.0
    lift_delay_s: float = 0.5
    min_rate_per_s: float = 0.25
    warm_up_ratio: float = 0.5
    news_interval_s: float = 1.0
    changed_ratio: float = 0.1
    assumed_nodes: int = 10
