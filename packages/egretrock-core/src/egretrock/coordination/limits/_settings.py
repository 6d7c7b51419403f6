"""Constants of the rate limiter."""

import msgspec


class LimitSettings(msgspec.Struct, frozen=True):
    """Constants of the rate limiter; all nodes of a fleet use the same.

    ``docs/decisions/rate-limits.md`` has the measurements behind the values.

    Attributes:
        grant_s: Lifetime of granted tokens in seconds, from the sending of
            the ask.
        short_grant_s: The same where the burst is too small for nodes to
            keep stocks of tokens.
        lease_s: Lifetime of a lease in seconds, from the sending of
            ``limits.busy``.
        renew_s: Seconds between two ``limits.busy`` messages for a busy
            organisation.
        handover_s: Seconds after its start in which a process adds no tokens
            to its bucket. By then every lease and grant of the node's previous
            process has expired.
        handover_lease_s: Lifetime of the leases given at a planned stop.
            Even with ``freshness_s`` added, it ends before another node
            uses a larger share, ``freshness_s`` x 1.5 after the change.
        clock_margin: Factor by which the node that gives a lease or grant
            counts it longer than the receiver; it covers clock rates
            that differ by 1%.
        busy_s: Seconds that an organisation stays busy after the last claim on
            its pool.
        release_s: Seconds without an ask after which a node that is not the
            preferred home returns the shares leased to it.
        gather_s: Seconds that the first ask of a busy period may wait for
            the first leases.
        ask_timeout_s: Seconds until an unanswered ask times out.
        ask_failures: Consecutive timeouts after which the home is suspected
            and another one is asked.
        suspect_s: Seconds for which a suspected home is not asked.
        short_wait_s: Seconds between two asks for one organisation when the
            home granted fewer tokens than wanted.
        wait_s: Maximum time in seconds that a request may wait for a token.
        claim_s: Seconds for which an ask counts as a claim on the pool.
        horizon_s: Seconds of expected demand that a node asks for.
        extend_s: Remaining lifetime of held tokens in seconds below which
            the node asks to extend it.
        low_water: Fraction of the wanted stock below which a node asks again.
        demand_s: Time constant of the demand estimate in seconds.
        ask_ahead_per_s: Demand in requests a second from which a node asks
            before it has run out of tokens.
        stock_tokens: Minimum burst of the node's own share, in tokens, for
            which the node keeps a stock of granted tokens.
        lend_ratio: Own demand, as a fraction of the rate of the node's
            share, below which the node leases the share to the home.
        message_bytes: Maximum size of one message. Messages to one node
            share datagrams of 1,400 bytes; larger ones would leave too little
            room for others.
    """

    grant_s: float = 0.3
    short_grant_s: float = 0.06
    lease_s: float = 0.8
    renew_s: float = 0.25
    handover_s: float = 3.0
    handover_lease_s: float = 1.9
    clock_margin: float = 1.01
    busy_s: float = 1.0
    release_s: float = 0.3
    gather_s: float = 0.01
    ask_timeout_s: float = 0.02
    ask_failures: int = 5
    suspect_s: float = 1.0
    short_wait_s: float = 0.03
    wait_s: float = 0.06
    claim_s: float = 0.3
    horizon_s: float = 0.1
    extend_s: float = 0.1
    low_water: float = 0.5
    demand_s: float = 0.5
    ask_ahead_per_s: float = 1.0
    stock_tokens: float = 2.0
    lend_ratio: float = 0.5
    message_bytes: int = 1000

    def __post_init__(self) -> None:
        """Checks the relations on which the bound of the rate depends.

        Raises:
            ValueError: If a lease or grant may last longer than
                ``handover_s``.
        """
        longest_s = max(
            self.lease_s,
            self.handover_lease_s,
            self.grant_s,
            self.short_grant_s,
        )
        if longest_s > self.handover_s:
            raise ValueError(
                f"handover_s is {self.handover_s}; it must be at least "
                f"{longest_s}, the longest lease or grant"
            )
