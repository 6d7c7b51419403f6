"""Sends the probes that the home of a service requests."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.python.failure import Failure

from egretrock.coordination.base import Counters
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
    """

    def __init__(
        self,
        home: TargetHome,
        pool: TargetPool,
        protocol: TargetProtocol,
        clock: Callable[[], float],
        counters: Counters,
    ) -> None:
        self._home = home
        self._pool = pool
        self._protocol = protocol
        self._clock = clock
        self._counters = counters

    def on_tick(self, now_s: float) -> None:
        """Sends the probes that are due."""
        for probe in self._home.take_probes(now_s):
            # By the time a probe is sent, another node may have become home.
            if self._home.may_probe(probe, self._clock()):
                self._send(probe)

    def _send(self, probe: ProbeRequest) -> None:
        self._counters.increment("probes.sent")
        path = self._protocol.health_path
        if probe.kind is ProbeKind.LOAD:
            path = self._protocol.load_path
        fetch = self._pool.fetch(probe.address, path, probe.timeout_s)
        fetch.addCallbacks(
            self._on_answer,
            self._on_failure,
            callbackArgs=(probe,),
            errbackArgs=(probe,),
        )

    def _on_answer(self, answer: FetchedAnswer, probe: ProbeRequest) -> None:
        health = None
        if answer.status == 200:
            health = self._parse_health(probe, answer.body)
        if health is None:
            self._counters.increment("probes.invalid")
        self._home.on_probe(ProbeResult(probe, health), self._clock())

    def _on_failure(self, failure: Failure, probe: ProbeRequest) -> Any:
        error = failure.check(FetchError)
        if error is None:
            return failure
        self._counters.increment("probes.failed")
        result = ProbeResult(probe, None, failure.value.is_connection_refused)
        self._home.on_probe(result, self._clock())
        return None

    def _parse_health(self, probe: ProbeRequest, body: bytes) -> Health | None:
        try:
            if probe.kind is ProbeKind.HEALTH:
                health = self._protocol.read_health(body)
                return Health(health.instance, health.state, health.uptime_s)
            load = self._protocol.read_load(body)
        except msgspec.MsgspecError:
            return None
        busy = load.in_flight + load.queued
        return Health(load.instance, slots=load.slots, busy=busy)
