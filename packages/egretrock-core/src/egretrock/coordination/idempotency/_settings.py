"""Settings of the idempotency records."""

import msgspec


class IdempotencySettings(msgspec.Struct, frozen=True):
    """Settings; all nodes of a fleet must use the same values.

    Attributes:
        window_s: Seconds within which a key runs at most once. Not part of a
            profile: two nodes with different values would break the guarantee.
        dispatch_s: Maximum seconds from the first ``Begin`` to the dispatch.
        begin_s: Maximum seconds that a caller waits for the holder's answer.
        resend_s: Seconds after which an unanswered message is resent.
        report_s: Seconds for which the outcome of an attempt is resent.
        clock_margin: Factor that covers clock rates that differ by 1%.
        record_count: Maximum number of records of a home; when full, it
            refuses new keys.
        attempt_count: Maximum number of pending attempts of a client, and of
            its unacknowledged reports.
        chunk_count: Maximum number of records in one chunk of a handover, which
            is one message. A record takes at most 100 bytes, and a datagram
            holds 1,400.
        handover_s: Seconds after which a handover is abandoned.
        chunks_per_tick: Maximum number of chunks that one tick sends to a
            successor.
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
    def retention_s(self) -> float:
        """Seconds for which a home keeps a record.

        A key recorded at t may be dispatched until t + ``dispatch_s``. With
        this retention, its next run is at least ``window_s`` after that.
        """
        return (self.window_s + self.dispatch_s) * self.clock_margin
