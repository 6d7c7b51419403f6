"""A few nodes with choosers, and fake targets that run requests.

``python -m egretrock.coordination.probing.tests.load_pattern`` prints the
figures of the patterns, with and without stakes.
"""

import collections
import heapq
import itertools
import random

from egretrock.coordination.probing import (
    ChoiceSettings,
    LoadReading,
    TargetChooser,
    TargetSubsets,
)
from egretrock.coordination.targets import (
    AttemptOutcome,
    AttemptResult,
    RequestStake,
)
from egretrock.state.config import Target
from egretrock.state.ids import (
    DataCentreId,
    InstanceId,
    NodeId,
    OrganisationId,
    ServiceId,
    TargetId,
    TicketId,
)

SERVICE = ServiceId("records")
HOP_S = 0.0005
TICK_S = 0.01
MAX_IDLE_S = 8.0
MOMENT_S = 0.15
ANSWER_LATE_FACTOR = 7.0


class Kind:
    """Kind of request: rate, work, aim and deadline; whether repeatable."""

    def __init__(
        self, name, rate_per_s, work_s, aim_s, deadline_s, is_repeatable
    ):
        self.name = name
        self.rate_per_s = rate_per_s
        self.work_s = work_s
        self.aim_s = aim_s
        self.deadline_s = deadline_s
        self.is_repeatable = is_repeatable
        self.counts = collections.Counter()


def make_kinds(scale):
    """Returns kinds that keep 28.4 slots busy at a scale of 1."""
    return [
        Kind("urgent", 30 * scale, 0.2, 0.5, 2.5, False),
        Kind("read", 90 * scale, 0.16, 0.57, 2.3, True),
        Kind("slack", 40 * scale, 0.2, 1.4, 3.5, True),
    ]


class Request:
    def __init__(self, kind, now_s):
        self.kind = kind
        self.started_s = now_s
        self.excluded = frozenset()
        self.attempt_count = 0
        self.is_done = False


class FakeTarget:
    """Runs requests in its slots and queues as many more."""

    def __init__(self, name, run):
        self.name = name
        self.run = run
        self.running = 0
        self.queue = collections.deque()

    def arrive(self, node, request, permit):
        if self.running < self.run.slots:
            self._begin(node, request, permit)
        elif len(self.queue) < self.run.slots:
            self.queue.append((node, request, permit))
        else:
            self.run.after(
                HOP_S, node.on_end, request, permit, AttemptOutcome.SHED
            )

    def _begin(self, node, request, permit):
        run = self.run
        self.running += 1
        work_s = request.kind.work_s * run.rng.uniform(0.7, 1.3)
        work_s *= run.factor(self.name)
        end_s = run.now_s + work_s
        deadline_s = request.started_s + request.kind.deadline_s
        outcome = AttemptOutcome.OK
        if end_s > deadline_s:
            outcome, end_s = AttemptOutcome.ERROR, max(run.now_s, deadline_s)
        elif run.rng.random() < run.loss(self.name):
            outcome = AttemptOutcome.LOST
        run.after(end_s - run.now_s, self._end, node, request, permit, outcome)

    def _end(self, node, request, permit, outcome):
        self.running -= 1
        self.run.after(HOP_S, node.on_end, request, permit, outcome)
        if self.queue:
            self._begin(*self.queue.popleft())


class Connections:
    """Connections of one node."""

    def __init__(self, run):
        self.run = run
        self.idle = collections.defaultdict(list)
        self.opened = 0

    def _drop_old(self, address):
        oldest_s = self.run.now_s - MAX_IDLE_S
        self.idle[address] = [t for t in self.idle[address] if t >= oldest_s]

    def has_idle_connection(self, address, at_most_once=False):
        del at_most_once
        self._drop_old(address)
        return bool(self.idle[address])

    def take(self, address):
        if self.has_idle_connection(address):
            self.idle[address].pop()
        else:
            self.opened += 1

    def give_back(self, address):
        self.idle[address].append(self.run.now_s)


class Node:
    def __init__(self, run, name, centre, evidence, uses_stake):
        self.run = run
        self.connections = Connections(run)
        self.waiting = {}
        self.uses_stake = uses_stake
        run_counts = run.near_count, run.node_count
        arguments = {}
        if uses_stake:
            arguments = {"connections": self.connections, "evidence": evidence}
        self.chooser = TargetChooser(
            lambda service: run.listed,
            TargetSubsets(
                NodeId(name),
                DataCentreId(centre),
                lambda: run_counts[0],
                lambda: run_counts[1],
            ),
            random.Random(name),
            run.settings,
            node_count=lambda: run.node_count,
            **arguments,
        )
        run.after(run.rng.uniform(0, TICK_S), self.tick)

    def tick(self):
        now_s = self.run.now_s
        self.chooser.on_tick(now_s)
        for ticket, request in list(self.waiting.items()):
            if now_s >= request.started_s + request.kind.deadline_s:
                del self.waiting[ticket]
                self.chooser.cancel(ticket, now_s)
                request.kind.counts["refused"] += 1
        self.pump()
        self.run.after(TICK_S, self.tick)

    def ask(self, request):
        kind, now_s = request.kind, self.run.now_s
        ticket = TicketId(next(self.run.tickets))
        self.waiting[ticket] = request
        deadline_s = request.started_s + kind.deadline_s
        arguments = []
        if self.uses_stake:
            arguments = [
                RequestStake(
                    kind.is_repeatable,
                    request.started_s + kind.aim_s,
                    deadline_s,
                    kind.work_s,
                    0,
                )
            ]
        self.chooser.request(
            ticket,
            SERVICE,
            OrganisationId("acme"),
            request.excluded,
            deadline_s,
            now_s,
            *arguments,
        )
        self.pump()

    def pump(self):
        for probe in self.chooser.take_probes():
            self.run.probe_count += 1
            self.connections.take(probe.address)
            self.run.after(HOP_S, self.read, probe)
        for assignment in self.chooser.poll(self.run.now_s):
            request = self.waiting.pop(assignment.ticket)
            permit = assignment.permit
            self.connections.take(permit.address)
            request.attempt_count += 1
            self.run.sent[permit.target] += 1
            target = self.run.targets[permit.target]
            self.run.after(HOP_S, target.arrive, self, request, permit)

    def read(self, probe):
        target = self.run.targets[probe.target]
        reading = LoadReading(
            InstanceId(probe.target),
            True,
            target.running,
            len(target.queue),
            self.run.slots,
            self.run.factor(target.name),
        )
        self.run.after(HOP_S, self.on_read, probe, reading)

    def on_read(self, probe, reading):
        self.connections.give_back(probe.address)
        self.chooser.on_reading(probe, reading, self.run.now_s)
        self.pump()

    def on_end(self, request, permit, outcome):
        now_s = self.run.now_s
        kind = request.kind
        if outcome is not AttemptOutcome.LOST:
            self.connections.give_back(permit.address)
        self.chooser.finish(permit, AttemptResult(outcome, 0.0), now_s)
        waited_s = now_s - request.started_s
        if outcome is AttemptOutcome.OK:
            is_late = waited_s > kind.aim_s
            kind.counts["late" if is_late else "on time"] += 1
        elif (
            kind.is_repeatable or outcome is AttemptOutcome.SHED
        ) and waited_s < kind.deadline_s:
            kind.counts["second"] += 1
            request.excluded |= {permit.target}
            self.ask(request)
        else:
            kind.counts["failed"] += 1
        self.pump()


class SharedEvidence:
    """Failure rates that all nodes see at once, over the last 3 seconds."""

    def __init__(self):
        self.outcomes = collections.defaultdict(collections.deque)

    def record(self, service, target, instance, outcome, now_s):
        is_failure = outcome in (AttemptOutcome.LOST, AttemptOutcome.ERROR)
        self.outcomes[target].append((now_s, is_failure))

    def failure_rate(self, target, now_s):
        outcomes = self.outcomes[target]
        while outcomes and outcomes[0][0] < now_s - 3.0:
            outcomes.popleft()
        return sum(o for _, o in outcomes) / max(3, len(outcomes))

    def is_out(self, target, now_s):
        return False

    def take_try(self, target, now_s):
        return False


class LoadPattern:
    """Plays kinds of requests on nodes and targets of three data centres."""

    def __init__(
        self,
        kinds,
        node_count=12,
        target_count=36,
        slots=3,
        uses_stake=True,
        settings=None,
        seed=1,
        slow_share=0.0,
        loss=(0.0, 0.0),
        warm_s=0.0,
    ):
        self.kinds = kinds
        self.slots = slots
        self.rng = random.Random(seed)
        self.settings = settings or ChoiceSettings()
        self.node_count, self.near_count = node_count, -(-node_count // 3)
        self.slow_share = slow_share
        self.losing_share, self.loss_rate = loss
        self.warm_s = warm_s
        self.now_s = 0.0
        self.probe_count = 0
        self.sent = collections.Counter()
        self.tickets = itertools.count(1)
        self._events = []
        self._order = itertools.count()
        self.targets, self.listed = {}, {}
        for number in range(target_count):
            self.add_target(TargetId(f"t{number}"), "abc"[number % 3])
        evidence = SharedEvidence()
        self.nodes = [
            Node(self, f"n{n}", "abc"[n % 3], evidence, uses_stake)
            for n in range(node_count)
        ]

    def add_target(self, name, centre):
        self.targets[name] = FakeTarget(name, self)
        number = len(self.targets)
        self.listed = self.listed | {
            name: Target(
                f"10.1.{number // 250}.{number % 250}:80",
                DataCentreId(centre),
                self.slots,
            )
        }

    def factor(self, name):
        """Returns the slowness of a target: five times in some moments."""
        moment = int(self.now_s / MOMENT_S)
        is_slow = random.Random(f"{name}{moment}").random() < self.slow_share
        return 5.0 if is_slow else 1.0

    def loss(self, name):
        is_losing = random.Random(name).random() < self.losing_share
        return self.loss_rate if is_losing else 0.0

    def after(self, delay_s, callback, *arguments):
        event = (self.now_s + delay_s, next(self._order), callback, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self, kind, end_s):
        if self.now_s >= end_s:
            return
        if self.now_s >= self.warm_s:
            kind.counts["asked"] += 1
        self.rng.choice(self.nodes).ask(Request(kind, self.now_s))
        self.after(
            self.rng.expovariate(kind.rate_per_s), self._arrive, kind, end_s
        )

    def play(self, span_s):
        for kind in self.kinds:
            self.after(0.0, self._arrive, kind, self.now_s + span_s)
        self.run_until(self.now_s + span_s + 8.0)
        return self

    def run_until(self, end_s):
        while self._events and self._events[0][0] < end_s:
            self.now_s, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        self.now_s = end_s

    @property
    def opened(self):
        return sum(node.connections.opened for node in self.nodes)


class Totals:
    """Sums of several runs."""

    def __init__(self):
        self.counts = collections.defaultdict(collections.Counter)
        self.opened = self.probes = 0

    def add(self, run):
        for kind in run.kinds:
            self.counts[kind.name].update(kind.counts)
        self.opened += run.opened
        self.probes += run.probe_count

    def share(self, kind, outcome):
        counts = self.counts[kind]
        return counts[outcome] / counts["asked"]

    def count(self, outcome):
        return sum(counts[outcome] for counts in self.counts.values())


def play(uses_stake, seeds, span_s, scale=1.0, **arguments):
    totals = Totals()
    for seed in seeds:
        run = LoadPattern(
            make_kinds(scale), uses_stake=uses_stake, seed=seed, **arguments
        )
        totals.add(run.play(span_s))
    return totals


PATTERNS = {
    "calm": {},
    "a third slow": {"slow_share": 0.33},
    "0.7 slow": {"slow_share": 0.7},
    "half lose half": {"loss": (0.5, 0.5)},
    "a tenth loses 0.9": {"loss": (0.1, 0.9)},
    "full": {"scale": 3.8},
}


def main():
    for name, arguments in PATTERNS.items():
        for uses_stake in (False, True):
            totals = play(uses_stake, (1, 2, 3), 15.0, **arguments)
            asked = totals.count("asked")
            cells = [
                " / ".join(
                    f"{100 * totals.share(kind, outcome):.2f}"
                    for outcome in ("late", "failed", "second")
                )
                for kind in totals.counts
            ]
            opened = f"{totals.opened / asked:.3f}"
            probes = f"{totals.probes / asked:.2f}"
            way = "stakes" if uses_stake else "none"
            print("|", " | ".join([name, way, *cells, opened, probes]), "|")


if __name__ == "__main__":
    main()
