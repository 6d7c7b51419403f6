"""Runs a bounded closed or open loop in the reactor."""

import random
import time
from collections.abc import Callable

import msgspec
from twisted.internet import reactor

from egretrock_standins.load._connection import Pool
from egretrock_standins.load._results import (
    LoadResult,
    Recorder,
    RequestRecord,
    new_histogram,
)
from egretrock_standins.load._spec import LoadSpec, Mode, RequestKind


class _Loop:
    """State of one run; ``on_end`` is called once."""

    def __init__(
        self, spec: LoadSpec, on_end: Callable[[LoadResult], None]
    ) -> None:
        self._spec = spec
        self._on_end = on_end
        self._rng = random.Random(spec.seed)
        max_connections = spec.max_connections
        if spec.mode is Mode.CLOSED:
            max_connections = spec.concurrency
        self._pools = [Pool(a, max_connections) for a in spec.addresses]
        self._recorders = {c.name: Recorder(c) for c in spec.callers}
        weights = [
            c.rate_per_s if spec.mode is Mode.OPEN else c.weight
            for c in spec.callers
        ]
        self._weights = weights
        self._sent_count = 0
        self._pending_count = 0
        self._finished_sending = False
        self._send_delays = new_histogram()
        self._nonce_prefix = f"{self._rng.getrandbits(48):012x}"
        self._last_outcome_s = 0.0
        self._requests: list[RequestRecord] = []

    def start(self) -> None:
        """Starts sending."""
        self._start_s = time.monotonic()
        self._next_arrival_s = 0.0
        if self._spec.mode is Mode.OPEN:
            self._send_due()
            return
        for _ in range(self._spec.concurrency):
            self._send_next()

    def _now_s(self) -> float:
        return time.monotonic() - self._start_s

    def _may_send(self, at_s: float) -> bool:
        spec = self._spec
        return self._sent_count < spec.max_requests and at_s < spec.duration_s

    def _send_due(self) -> None:
        """Open loop: sends due requests and waits for the next arrival."""
        now_s = self._now_s()
        while (
            self._may_send(self._next_arrival_s)
            and self._next_arrival_s <= now_s
        ):
            delay_us = max(1, round((now_s - self._next_arrival_s) * 1e6))
            self._send_delays.record_value(delay_us)
            self._send(self._next_arrival_s)
            self._next_arrival_s += self._rng.expovariate(sum(self._weights))
            now_s = self._now_s()
        if self._may_send(self._next_arrival_s):
            reactor.callLater(
                max(self._next_arrival_s - now_s, 0), self._send_due
            )
        else:
            self._end_sending()

    def _send_next(self) -> None:
        """Closed loop: sends the next request of one connection."""
        now_s = self._now_s()
        if self._may_send(now_s):
            self._send(now_s)
        else:
            self._end_sending()

    def _send(self, intended_s: float) -> None:
        spec = self._spec
        (caller,) = self._rng.choices(spec.callers, self._weights)
        weights = [kind.weight for kind in caller.requests]
        (kind,) = self._rng.choices(caller.requests, weights)
        pool_index = self._sent_count % len(self._pools)
        self._sent_count += 1
        self._pending_count += 1
        self._recorders[caller.name].count_arrival(intended_s)
        nonce = f"{self._nonce_prefix}-{self._sent_count}"
        path = f"{kind.path.rstrip('/')}/{nonce}"

        def on_outcome(outcome: str) -> None:
            latency_s = self._now_s() - intended_s
            self._recorders[caller.name].add(outcome, intended_s, latency_s)
            if spec.record_requests:
                intended_at_s = self._start_s + intended_s
                address = spec.addresses[pool_index]
                self._requests.append(
                    RequestRecord(
                        caller.name,
                        address,
                        kind.method,
                        path,
                        intended_at_s,
                        outcome,
                    )
                )
            self._pending_count -= 1
            self._last_outcome_s = self._now_s()
            if spec.mode is Mode.CLOSED:
                # Through the reactor, so that immediate failures don't recurse.
                reactor.callLater(0, self._send_next)
            else:
                self._check_end()

        request = _request(caller.key, kind, path, nonce)
        pool = self._pools[pool_index]
        pool.send(request, nonce.encode(), spec.timeout_s, on_outcome)

    def _end_sending(self) -> None:
        self._finished_sending = True
        self._check_end()

    def _check_end(self) -> None:
        if self._finished_sending and self._pending_count == 0:
            self._pending_count = -1  # calls ``on_end`` only once
            callers = {n: r.result() for n, r in self._recorders.items()}
            late_us = self._send_delays.get_value_at_percentile(99)
            self._on_end(
                LoadResult(
                    self._last_outcome_s, callers, late_us, self._requests
                )
            )


def _request(key: str, kind: RequestKind, path: str, nonce: str) -> bytes:
    lines = [
        f"{kind.method} {path} HTTP/1.1",
        "Host: load",
        f"X-Nonce: {nonce}",
    ]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    if kind.body_bytes or kind.method != "GET":
        lines.append(f"Content-Length: {kind.body_bytes}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode() + b"x" * kind.body_bytes


def run_load(spec: LoadSpec) -> LoadResult:
    """Runs one generator; may be called once in a process.

    Args:
        spec: What to send, with the bounds of the run.
    """
    results: list[LoadResult] = []

    def finish(result: LoadResult) -> None:
        results.append(result)
        reactor.stop()

    wait_s = 0.0
    if spec.start_at_s is not None:
        wait_s = max(0.0, spec.start_at_s - time.monotonic())
    reactor.callLater(wait_s, _Loop(spec, finish).start)
    reactor.run()
    if not results:
        raise SystemExit("interrupted by a signal")
    return results[0]


def run_file(file_name: str) -> bytes:
    """Runs the specification in a JSON file; returns the result as JSON."""
    with open(file_name, "rb") as file:
        spec = msgspec.json.decode(file.read(), type=LoadSpec)
    return msgspec.json.encode(run_load(spec))
