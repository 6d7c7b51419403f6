"""Fake coordination parts and a configuration for request path tests.

The fakes allow every request unless a test says otherwise.
"""

import collections
import random
import time
from unittest.mock import Mock

from expression import Ok

from egretrock.coordination.idempotency import BeginOutcome, BeginResult
from egretrock.coordination.retries import RetryDecision
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
from egretrock.state.outcome import RunState
from egretrock_node.protocol.http import (
    KeyCredentials,
    TargetProtocol,
    digest_key,
)
from egretrock_node.protocol.requests import (
    CoordinationParts,
    PipelineSettings,
    ProcessServices,
    RequestPipeline,
)

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


def make_mock_part(**values):
    """Returns a mock part whose methods return the given values."""
    return Mock(**{f"{k}.return_value": v for k, v in values.items()})


class FakeQueue:
    """An unbounded FIFO queue."""

    def __init__(self):
        self.items = []
        self.offer = lambda item, now_s: self.items.append(item) or Ok(None)
        self.take_evicted = Mock(return_value=[])
        self.refusal_of, self.report_slot_time, self.expire = (
            Mock(),
            Mock(),
            Mock(),
        )
        self.report_work = Mock()

    def take(self, service, now_s, *slot):
        return self.items.pop(0) if self.items else None


class FakePermits:
    """Grants each request a permit for the first target not excluded.

    While ``is_blocked`` is set, requests wait. ``pending`` has the requests
    without a permit, ``results`` those of the finished permits.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.is_blocked = False
        self.pending = {}
        self.stakes = []
        self.results = []
        self.may_dispatch = Mock(return_value=True)
        self.on_connection_lost = Mock(return_value=[])
        self.on_pool_empty = Mock(return_value=[])
        self.on_limit_reported = Mock(return_value=[])

    def request(
        self,
        ticket,
        service,
        organisation,
        excluded,
        deadline_s,
        now_s,
        stake=None,
    ):
        self.stakes.append(stake)
        self.pending[ticket] = (service, excluded)
        return []

    def poll(self, now_s):
        assignments = []
        for ticket, (service, excluded) in list(self.pending.items()):
            targets = self._fleet.config().services[service].targets
            candidates = [name for name in targets if name not in excluded]
            if candidates and not self.is_blocked:
                del self.pending[ticket]
                address = targets[candidates[0]].address
                permit = Permit(
                    1, service, candidates[0], address, None, now_s + 1, True
                )
                assignments.append(Assignment(ticket, permit))
        return assignments

    def finish(self, permit, result, now_s):
        self.results.append(result)
        return []

    def cancel(self, ticket, now_s):
        del self.pending[ticket]
        return []


class FakeIdempotency:
    """Keeps keys in memory; ``outcome`` overrides the result of ``begin``.

    While ``is_blocked`` is set, ``poll`` returns no results.
    """

    def __init__(self):
        self.keys_seen = set()
        self.results = []
        self.outcome = None
        self.is_blocked = False
        self.complete = Mock(return_value=[])

    def begin(self, key, attempt, now_s):
        first = (
            BeginOutcome.SEEN if key in self.keys_seen else BeginOutcome.FIRST
        )
        self.keys_seen.add(key)
        outcome = self.outcome or first
        result = BeginResult(attempt, outcome, RunState.RUN, 200, now_s + 0.5)
        self.results.append(result)
        return []

    def poll(self, now_s):
        if self.is_blocked:
            return []
        results, self.results = self.results, []
        return results


class CountingCounters:
    def __init__(self):
        self.counts = collections.Counter()
        self.gauge = Mock()

    def observe(self, name, value_s):
        """Ignores durations."""

    def increment(self, name, count=1):
        self.counts[name] += count


def make_parts(config):
    fleet = make_mock_part(is_fresh=True, is_ready=True, config=config)
    retries = Mock()
    retries.decide_retry = Mock(
        side_effect=lambda call, failure, now_s: RetryDecision(
            call.attempt_count < 3
        )
    )
    return CoordinationParts(
        fleet=fleet,
        limits=make_mock_part(
            admit=Ok(None), wait_until_s=None, request_tokens=[]
        ),
        queue=FakeQueue(),
        permits=FakePermits(fleet),
        retries=retries,
        quarantine=make_mock_part(check=Ok(None), report=[], clear=[]),
        idempotency=FakeIdempotency(),
    )


def make_pipeline(
    parts, targets, counters, clock=time.monotonic, rng=None, **settings
):
    settings = {"max_held_body_bytes": 1_000_000, **settings}
    return RequestPipeline(
        parts,
        targets,
        ProcessServices(
            clock, lambda messages: None, counters, rng or random.Random(1)
        ),
        PipelineSettings("east", **settings),
        KeyCredentials(),
        TargetProtocol(),
        1,
    )
