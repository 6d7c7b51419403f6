"""Carries out the probes that the home of a service orders."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.python.failure import Failure

from egretrock.coordination.base import Counters
from egretrock.coordination.targets import (
    Health,
    ProbeKind,
    ProbeOrder,
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
    """Sends probes and hands their results to the home.

    Args:
        home: Orders the probes and takes the results.
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
        for order in self._home.take_probes(now_s):
            # The order may be late, and another node the home by now.
            if self._home.may_probe(order, self._clock()):
                self._send(order)

    def _send(self, order: ProbeOrder) -> None:
        self._counters.increment("probes.sent")
        path = self._protocol.health_path
        if order.kind is ProbeKind.LOAD:
            path = self._protocol.load_path
        fetched = self._pool.fetch(order.address, path, order.timeout_s)
        fetched.addCallbacks(
            self._on_answer,
            self._on_failure,
            callbackArgs=(order,),
            errbackArgs=(order,),
        )

    def _on_answer(self, answer: FetchedAnswer, order: ProbeOrder) -> None:
        health = None
        if answer.status == 200:
            health = self._read(order, answer.body)
        if health is None:
            self._counters.increment("probes.invalid")
        self._home.on_probe(ProbeResult(order, health), self._clock())

    def _on_failure(self, failure: Failure, order: ProbeOrder) -> Any:
        error = failure.check(FetchError)
        if error is None:
            return failure
        self._counters.increment("probes.failed")
        result = ProbeResult(order, None, failure.value.refused)
        self._home.on_probe(result, self._clock())
        return None

    def _read(self, order: ProbeOrder, body: bytes) -> Health | None:
        try:
            if order.kind is ProbeKind.HEALTH:
                health = self._protocol.read_health(body)
                return Health(health.instance, health.state, health.uptime_s)
            load = self._protocol.read_load(body)
        except msgspec.MsgspecError:
            return None
        busy = load.in_flight + load.queued
        return Health(load.instance, slots=load.slots, busy=busy)
