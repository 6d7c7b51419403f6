"""Admission, queue and execution of requests by a stand-in target."""

import collections
import random
import time
import uuid
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from twisted.internet.interfaces import IReactorTime

from egretrock_standins.target._history import History, RunRecord
from egretrock_standins.target._options import Overload, Rule, TargetOptions


class Exchange(Protocol):
    """The server's side of one request.

    Attributes:
        record: Record of the request in the history.
        rule: Special handling of the request, if any.
        deadline_s: Deadline by the target's clock, if any.
    """

    record: RunRecord
    rule: Rule | None
    deadline_s: float | None

    def answer(self) -> None:
        """Sends the answer to a request that ran."""

    def refuse(self, not_run: bool, reason: str) -> None:
        """Sends a 503; if the request did not run, a header says so."""


class Health(msgspec.Struct):
    """Body of an answer to ``/health``."""

    instance: str
    state: str
    uptime_s: float


class Load(msgspec.Struct):
    """Body of an answer to ``/load``."""

    instance: str
    slots: int
    in_flight: int
    queued: int


class Target:
    """Slots, a bounded queue, cold starts and counts of one target.

    Args:
        options: Options; may be replaced while the target runs.
        clock: Source of time and timers.
        on_crash: Called on a crash; ends the process or restarts the server.
    """

    def __init__(
        self,
        options: TargetOptions,
        clock: IReactorTime,
        on_crash: Callable[[], None],
    ) -> None:
        self.options = options
        self.history = History(options.history_file, options.keep_history)
        self.draining = False
        self.counts: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._on_crash = on_crash
        self._rng = random.Random(options.seed)
        self._running: dict[Exchange, Any] = {}
        self._queue: collections.deque[Exchange] = collections.deque()
        self._extra_work_s = 0.0
        self._reports: collections.deque[tuple[float, Health, Load]] = (
            collections.deque()
        )
        self.max_in_flight = 0
        self.max_cold_concurrency = 0
        self.new_instance()

    def new_instance(self) -> None:
        """Becomes a cold instance with a new id."""
        self.instance = uuid.uuid4().hex[:12]
        self.draining = False
        self._started_s = self._clock.seconds()
        self._reports.clear()

    @property
    def state(self) -> str:
        """Returns ``draining``, ``cold`` or ``ready``."""
        if self.draining:
            return "draining"
        return "cold" if self._is_cold() else "ready"

    @property
    def reported_state(self) -> str:
        """Returns the state that is reported to callers."""
        return self.options.reported_state or self.state

    def offer(self, exchange: Exchange) -> None:
        """Runs a request, queues it or sheds it."""
        options = self.options
        if self.draining:
            self._shed(exchange, "draining")
            return
        concurrency = len(self._running) + len(self._queue) + 1
        if self._is_cold():
            self.max_cold_concurrency = max(
                self.max_cold_concurrency, concurrency
            )
            if concurrency > options.cold_concurrency:
                self.counts["cold_overloads"] += 1
                if options.cold_overload is Overload.CRASH:
                    self.crash()
                else:
                    self._shed(exchange, "cold and over its concurrency")
                return
        if len(self._running) < options.slots:
            self._start(exchange)
        elif len(self._queue) < options.queue_bound:
            self._queue.append(exchange)
        else:
            self._shed(exchange, "queue full")

    def cancel(self, exchange: Exchange, end: str) -> bool:
        """Stops a request; returns whether it had started to run."""
        if exchange in self._queue:
            self._queue.remove(exchange)
            self.counts["cancelled_queued"] += 1
            return False
        timer = self._running.pop(exchange, None)
        if timer is not None:
            if timer.active():
                timer.cancel()
            self._end(exchange, end)
            self._start_waiting()
        return True

    def find(self, request_id: str) -> Exchange | None:
        """Returns a waiting or running request."""
        for exchange in [*self._running, *self._queue]:
            if exchange.record.request_id == request_id:
                return exchange
        return None

    def crash(self) -> None:
        """Ends the instance; running requests are recorded as crashed."""
        self.counts["crashes"] += 1
        for exchange, timer in list(self._running.items()):
            if timer.active():
                timer.cancel()
            self._end(exchange, "crashed")
        self._running.clear()
        self._queue.clear()
        self._on_crash()

    def add_work(self, work_ms: float) -> None:
        """Adds service time to the next request, for a probe or connection."""
        self._extra_work_s += work_ms / 1000

    def health(self) -> Health:
        """Returns the body of an answer to ``/health``."""
        return self._report()[0]

    def load(self) -> Load:
        """Returns the body of an answer to ``/load``."""
        return self._report()[1]

    def stats(self) -> dict[str, Any]:
        """Returns counts for checks and the bench."""
        return {
            "instance": self.instance,
            "state": self.state,
            "in_flight": len(self._running),
            "queued": len(self._queue),
            "max_in_flight": self.max_in_flight,
            "max_cold_concurrency": self.max_cold_concurrency,
            "runs": self.history.run_count,
            "counts": dict(self.counts),
        }

    def _is_cold(self) -> bool:
        uptime_s = self._clock.seconds() - self._started_s
        return uptime_s < self.options.cold_s

    def _shed(self, exchange: Exchange, reason: str) -> None:
        self.counts["shed"] += 1
        exchange.refuse(True, reason)

    def _start(self, exchange: Exchange) -> None:
        record, rule = exchange.record, exchange.rule
        record.instance, record.start_s = self.instance, time.monotonic()
        self.history.start(record)
        if rule is not None and rule.crash:
            self._running[exchange] = self._clock.callLater(0, lambda: None)
            self.crash()
            return
        service_s = self.options.service_time.draw_s(self._rng)
        if rule is not None and rule.service_ms is not None:
            service_s = rule.service_ms / 1000
        if self._is_cold():
            service_s *= self.options.cold_factor
        service_s, self._extra_work_s = service_s + self._extra_work_s, 0.0
        remaining_s = None
        if exchange.deadline_s is not None:
            remaining_s = exchange.deadline_s - self._clock.seconds()
        if remaining_s is not None and remaining_s < service_s:
            timer = self._clock.callLater(
                max(remaining_s, 0), self._on_deadline, exchange
            )
        else:
            timer = self._clock.callLater(service_s, self._finish, exchange)
        self._running[exchange] = timer
        self.max_in_flight = max(self.max_in_flight, len(self._running))

    def _finish(self, exchange: Exchange) -> None:
        if exchange.rule is not None and exchange.rule.never_answer:
            return
        del self._running[exchange]
        self._end(exchange, "answered")
        exchange.answer()
        self._start_waiting()

    def _on_deadline(self, exchange: Exchange) -> None:
        del self._running[exchange]
        self._end(exchange, "deadline")
        exchange.refuse(False, "deadline passed while running")
        self._start_waiting()

    def _end(self, exchange: Exchange, end: str) -> None:
        self.counts[end] += 1
        self.history.end(exchange.record, time.monotonic(), end)

    def _start_waiting(self) -> None:
        while self._queue and len(self._running) < self.options.slots:
            exchange = self._queue.popleft()
            deadline_s = exchange.deadline_s
            if deadline_s is not None and deadline_s < self._clock.seconds():
                self._shed(exchange, "deadline passed while queued")
            else:
                self._start(exchange)

    def _report(self) -> tuple[Health, Load]:
        now_s = self._clock.seconds()
        uptime_s = now_s - self._started_s
        health = Health(self.instance, self.reported_state, uptime_s)
        in_flight = self.options.reported_in_flight
        if in_flight is None:
            in_flight = len(self._running)
        load = Load(
            self.instance, self.options.slots, in_flight, len(self._queue)
        )
        lag_s = self.options.report_lag_s
        if lag_s <= 0:
            return health, load
        # A lagging report is the newest one taken at least lag_s ago, so
        # its age also depends on how often reports are requested.
        self._reports.append((now_s, health, load))
        while len(self._reports) > 1 and self._reports[1][0] <= now_s - lag_s:
            self._reports.popleft()
        return self._reports[0][1:]
