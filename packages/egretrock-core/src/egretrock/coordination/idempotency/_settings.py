"""Constants of the idempotency records."""

import msgspec


class IdempotencySettings(msgspec.Struct, frozen=True):
    """Constants; all nodes of a fleet use the same.

    Attributes:
        window_s: Seconds within which a key runs at most once. It is no part
            of a profile: two nodes that differ on it would break the promise.
        dispatch_s: Longest time from the first question to the dispatch.
        begin_s: Longest time that a caller waits for the holder's answer.
        resend_s: Seconds between two sends of a message without an answer.
        report_s: Seconds for which the outcome of an attempt is resent.
        clock_margin: Factor that covers clock rates that differ by 1%.
        record_count: Most records of a home; at the bound it refuses.
        attempt_count: Most open attempts and reports of a client.
        chunk_count: Records in one message of a hand-over. A record takes at
            most 100 bytes, and a datagram 1,400.
        handover_s: Seconds after which a hand-over is given up.
        chunks_per_tick: Messages of a hand-over that one tick sends.
    """

    window_s: float = 120.0
    dispatch_s: float = 10.0
    begin_s: float = 0.5
    resend_s: float = 0.1
    report_s: float = 3.0
    clock_margin: float = 1.01
    record_count: int = 200_000
    attempt_count: int = 10_000
    chunk_count: int = 10
    handover_s: float = 5.0
    chunks_per_tick: int = 50

    @property
    def keep_s(self) -> float:
        """Seconds for which a home keeps a record.

        A key that was recorded at t may be dispatched until t +
        ``dispatch_s``, so the next run of the key is at least ``window_s``
        later.
        """
        return (self.window_s + self.dispatch_s) * self.clock_margin
