"""Sends the probes that the home of a service requests."""

from collections.abc import Callable

import msgspec
from twisted.internet.defer import maybeDeferred
from twisted.python.failure import Failure

from egretrock.coordination.base import Counters, ErrorHandler
from egretrock.coordination.targets import (
    Health,
    ProbeKind,
    ProbeRequest,
    ProbeResult,
    TargetHome,
)
from egretrock_node.protocol.http import TargetProtocol
from egretrock_node.transport.target import (
    FetchedAnswer,
    FetchError,
    TargetPool,
)


class Prober:
    """Sends probes and reports their results to the home.

    Args:
        home: Schedules the probes and receives their results.
        pool: Connections to targets.
        protocol: Adapter for the targets' protocol.
        clock: Seconds of the node's monotonic clock.
        counters: Counters of the node.
        on_error: Handles an exception that is no failure of a target.
    """

    def __init__(
        self,
        home: TargetHome,
        pool: TargetPool,
        protocol: TargetProtocol,
        clock: Callable[[], float],
        counters: Counters,
        on_error: ErrorHandler,
    ) -> None:
        self._on_error = on_error
        self._home = home
        self._pool = pool
        self._protocol = protocol
        self._clock = clock
        self._counters = counters

    def on_tick(self, now_s: float) -> None:
        """Sends the probes that are due."""
        for request in self._home.take_probes(now_s):
            # By the time a probe is sent, another node may have become home.
            if self._home.may_probe(request, self._clock()):
                self._send(request)

    def _send(self, request: ProbeRequest) -> None:
        self._counters.increment("probes.sent")
        path = self._protocol.health_path
        if request.kind is ProbeKind.LOAD:
            path = self._protocol.load_path
        fetch = maybeDeferred(
            self._pool.fetch, request.address, path, request.timeout_s
        )
        fetch.addCallback(self._read_answer, request)
        fetch.addErrback(self._on_failure, request)
        # Each probe is reported, or the home would wait for it.
        fetch.addCallback(lambda r: self._home.on_probe(r, self._clock()))

    def _read_answer(
        self, answer: FetchedAnswer, request: ProbeRequest
    ) -> ProbeResult:
        health = None
        if answer.status == 200:
            health = self._parse_health(request, answer.body)
        if health is None:
            self._counters.increment("probes.invalid")
        return ProbeResult(request, health)

    def _on_failure(
        self, failure: Failure, request: ProbeRequest
    ) -> ProbeResult:
        self._counters.increment("probes.failed")
        if failure.check(FetchError) is None:
            self._on_error("probe", failure.value)
            return ProbeResult(request, None)
        return ProbeResult(request, None, failure.value.is_connection_refused)

    def _parse_health(
        self, request: ProbeRequest, body: bytes
    ) -> Health | None:
        try:
            if request.kind is ProbeKind.HEALTH:
                health = self._protocol.read_health(body)
                return Health(health.instance, health.state, health.uptime_s)
            load = self._protocol.read_load(body)
        except msgspec.MsgspecError:
            return None
        busy = load.in_flight + load.queued
        return Health(load.instance, slots=load.slots, busy=busy)
