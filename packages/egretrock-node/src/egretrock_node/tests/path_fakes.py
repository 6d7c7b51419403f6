"""Permissive coordination parts and a configuration, for the path's tests."""

import time

from expression import Error, Ok

from egretrock.coordination.base import NullCounters
from egretrock.coordination.targets import Assignment, Permit
from egretrock.state.config import (
    Access,
    DataCentre,
    Organisation,
    Profile,
    PublishedConfig,
    Route,
    Service,
    Target,
)
from egretrock.state.ids import Incarnation
from egretrock.state.outcome import Refusal, RefusalCode, RunState
from egretrock_node.protocol.http import (
    KeyCredentials,
    TargetProtocol,
    digest_key,
)
from egretrock_node.protocol.requests import (
    BeginOutcome,
    BeginResult,
    Environment,
    Parts,
    PipelineSettings,
    RequestPipeline,
    RetryDecision,
)

ADMITTED = Ok(None)
KEY = "secret-key"


def make_config(addresses, deadline_ms=10_000, keys=(KEY,)):
    targets = {
        f"t{number}": Target(address, "east", 2)
        for number, address in enumerate(addresses)
    }
    return PublishedConfig(
        organisations={"acme": Organisation(1000, 1000)},
        data_centres={"east": DataCentre()},
        profiles={"plain": Profile(deadline_ms=deadline_ms)},
        services={"records": Service("plain", targets)},
        routes={
            "records": Route("/records", "records", idempotent=True),
            "payouts": Route("/payouts", "records", ["POST"]),
            "open": Route("/open", "records", access=Access.OPEN),
        },
        keys={digest_key(key.encode()): "acme" for key in keys},
    )


class FakeFleet:
    def __init__(self, config):
        self.published = config
        self.fresh = self.ready = True

    def is_fresh(self, now_s):
        return self.fresh

    def is_ready(self, now_s):
        return self.ready

    def config(self):
        return self.published


class FakeLimits:
    def __init__(self):
        self.allows = True
        self.wait_s = None

    def wait_until_s(self, organisation, now_s):
        return None if self.wait_s is None else now_s + self.wait_s

    def flush(self, organisation, now_s):
        return []

    def admit(self, organisation, now_s, again=False):
        if self.allows:
            return ADMITTED
        return Error(
            Refusal(RefusalCode.OVER_RATE, RunState.NOT_RUN, "over rate", 250)
        )


class FakeQueue:
    def __init__(self):
        self.items = []
        self.evictions = []
        self.settled = []

    def offer(self, item, now_s):
        self.items.append(item)
        return ADMITTED

    def evicted(self):
        evicted, self.evictions = self.evictions, []
        return evicted

    def full_refusal(self, item):
        return Refusal(RefusalCode.QUEUE_FULL, RunState.NOT_RUN, "full")

    def take(self, service, now_s):
        return self.items.pop(0) if self.items else None

    def settle(self, organisation, service, slot_time_s):
        self.settled.append(slot_time_s)

    def expire(self, now_s):
        return []


class FakePermits:
    """Gives a permit at once, unless it is held back."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.held = False
        self.valid = True
        self.asked = []
        self.results = []
        self.cancelled = []
        self.lost = []
        self.emptied = []

    def request(
        self, ticket, service, organisation, excluded, deadline_s, now_s
    ):
        self.asked.append((ticket, service, excluded))
        return []

    def poll(self, now_s):
        if self.held:
            return []
        assignments = []
        for ticket, service, excluded in self.asked:
            targets = self._fleet.published.services[service].targets
            for name, target in targets.items():
                if name not in excluded:
                    permit = Permit(
                        1, service, name, target.address, None, now_s + 1, True
                    )
                    assignments.append(Assignment(ticket, permit))
                    break
        self.asked = []
        return assignments

    def may_dispatch(self, permit, now_s):
        return self.valid

    def finish(self, permit, result, now_s):
        self.results.append(result)
        return []

    def cancel(self, ticket, now_s):
        self.cancelled.append(ticket)
        self.asked = [item for item in self.asked if item[0] != ticket]
        return []

    def connection_lost(self, service, target, now_s):
        self.lost.append(target)
        return []

    def pool_empty(self, service, target, now_s):
        self.emptied.append(target)
        return []


class FakeRetries:
    def __init__(self):
        self.reasons = []

    def on_first_try(self, service, now_s):
        pass

    def may_retry(self, call, failure, now_s):
        self.reasons.append(failure.reason.value)
        return RetryDecision(call.tries < 3)


class FakeQuarantine:
    def __init__(self):
        self.reports = []
        self.refusal = None

    def check(self, fingerprint, now_s):
        return ADMITTED if self.refusal is None else Error(self.refusal)

    def report(self, fingerprint, target, instance, now_s):
        self.reports.append((fingerprint, target, instance))
        return []

    def clear(self, fingerprint, now_s):
        return []


class FakeIdempotency:
    """Remembers keys in memory; ``outcome`` overrides the answer."""

    def __init__(self):
        self.seen = set()
        self.results = []
        self.completed = []
        self.outcome = None

    def begin(self, key, attempt, now_s):
        first = key not in self.seen
        self.seen.add(key)
        outcome = BeginOutcome.FIRST if first else BeginOutcome.SEEN
        self.results.append(
            BeginResult(attempt, self.outcome or outcome, RunState.RUN, 200)
        )
        return []

    def poll(self, now_s):
        results, self.results = self.results, []
        return results

    def complete(self, key, attempt, run_state, status, now_s):
        self.completed.append((run_state, status))
        return []


class CountingCounters(NullCounters):
    def __init__(self):
        self.counts = {}

    def increment(self, name, count=1):
        self.counts[name] = self.counts.get(name, 0) + count


def make_parts(config):
    fleet = FakeFleet(config)
    return Parts(
        fleet,
        FakeLimits(),
        FakeQueue(),
        FakePermits(fleet),
        FakeRetries(),
        FakeQuarantine(),
        FakeIdempotency(),
    )


def make_pipeline(parts, targets, counters, clock=time.monotonic):
    return RequestPipeline(
        parts,
        targets,
        Environment(clock, lambda messages: None, counters),
        PipelineSettings("east"),
        KeyCredentials(),
        TargetProtocol(),
        Incarnation(1),
    )
