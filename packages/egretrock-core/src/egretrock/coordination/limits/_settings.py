"""Constants of the rate limiter."""

import msgspec


class LimitSettings(msgspec.Struct, frozen=True):
    """Constants of the rate limiter; all nodes of a fleet use the same.

    ``docs/decisions/rate-limits.md`` has the measurements behind the values.

    Attributes:
        grant_s: Life of granted tokens in seconds, from the send of the ask.
        short_grant_s: The same where the burst is too small for stocks.
        lease_s: Life of a lease in seconds, from the send of ``limits.busy``.
        renew_s: Seconds between two ``limits.busy`` of a busy organisation.
        handover_s: Seconds after a start in which a process mints nothing.
            It covers every lease and grant of its predecessor.
        handover_lease_s: Life of the leases given at a planned stop. Together
            with ``freshness_s`` it ends before a larger share elsewhere is
            used, ``freshness_s`` x 1.5 after the change.
        clock_margin: Factor by which the giver waits longer than the
            receiver; it covers clock rates that differ by 1%.
        busy_s: Seconds that an organisation stays busy after the last claim.
        release_s: Seconds without an ask after which a node that is not the
            preferred home returns the shares leased to it.
        gather_s: Seconds that a first ask may wait for the first leases.
        ask_timeout_s: Seconds until an ask without an answer is given up.
        ask_failures: Lost asks in a row after which another home is asked.
        suspect_s: Seconds that a silent home is passed over.
        short_wait_s: Seconds between two asks for one organisation when the
            home could not give all that was wanted.
        wait_s: Longest time that a request without a token may wait.
        claim_s: Seconds that an ask counts as a claim on the pool.
        horizon_s: Seconds of expected demand that a node asks for.
        extend_s: Remaining life at which held tokens are to be extended.
        low_water: Part of the wanted stock below which a node asks again.
        demand_s: Time constant of the demand estimate in seconds.
        ask_ahead_per_s: Demand in requests a second from which a node asks
            before it is out of tokens.
        stock_tokens: Tokens of the burst that the own share must hold for the
            node to ask ahead.
        lend_ratio: Part of its share's rate up to which a node's own demand
            still lets it lend the share.
        message_bytes: Bound of one message; several fit no datagram of 1,400
            bytes otherwise.
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
        """Checks the relations that the bound depends on.

        Raises:
            ValueError: If a lease or grant may outlast the restart wait.
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
