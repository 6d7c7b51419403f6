"""A fleet of rate limiters in virtual time, with callers and a history."""

import dataclasses
import random

from egretrock.coordination.base import Message, Outbound, Peer
from egretrock.coordination.limits import LimitSettings, RateLimiter
from egretrock.state.config import Organisation
from egretrock.state.ids import Incarnation, NodeId, OrganisationId
from egretrock.state.outcome import Refusal
from egretrock_standins.limits_experiment._ways import (
    OwnerLimiter,
    OwnerView,
    SharingMethod,
    StaticLimiter,
)
from egretrock_standins.virtual import (
    Faults,
    FleetView,
    VirtualNetwork,
    VirtualPlatform,
)

#: Requests that may wait for a token at one node.
MAX_WAITING_REQUESTS = 1000
#: Life of a vote for the owner in seconds: ``vote_s`` x 1.01.
OWNER_VOTE_LIFE_S = 3.5 * 1.01
LIMITER_TYPES = {
    SharingMethod.STATIC: StaticLimiter,
    SharingMethod.OWNER: OwnerLimiter,
    SharingMethod.LEASED: RateLimiter,
}


class LimitHistory:
    """The largest limits that may be in force at each point in time.

    Args:
        published: Publication times and limits, in order.
        overlap_s: Seconds for which a node may still use a replaced limit.
        clock_rate: Rate of the fastest clock by which a node mints tokens.
    """

    def __init__(
        self,
        published: list[tuple[float, Organisation]],
        overlap_s: float = 0.0,
        clock_rate: float = 1.0,
    ) -> None:
        ends_s = [at_s + overlap_s for at_s, _ in published[1:]]
        self._clock_rate = clock_rate
        self._spans = [
            (at_s, end_s, limits)
            for (at_s, limits), end_s in zip(
                published, [*ends_s, float("inf")], strict=True
            )
        ]
        edges = {edge for span in self._spans for edge in span[:2]}
        self._edges = sorted(e for e in edges if 0 < e < float("inf"))

    def burst(self, at_s: float) -> float:
        """Returns the largest burst in force at a time."""
        return max(limits.burst for limits in self._in_force(at_s))

    def minted(self, until_s: float) -> float:
        """Returns the integral of the largest rate from time 0."""
        total = start_s = 0.0
        for edge in [*(e for e in self._edges if e < until_s), until_s]:
            rates = [x.rate_per_s for x in self._in_force(start_s)]
            total += max(rates) * (edge - start_s)
            start_s = edge
        return total * self._clock_rate

    def _in_force(self, at_s: float) -> list[Organisation]:
        return [x for start, end, x in self._spans if start <= at_s < end]


class ReferenceBucket:
    """One token bucket for the whole fleet; decides what is within rate."""

    def __init__(self, limits: Organisation) -> None:
        self._limits = limits
        self._level = limits.burst
        self._at_s = 0.0

    def admit(self, now_s: float) -> bool:
        """Takes a token, if there is one."""
        minted = self._limits.rate_per_s * (now_s - self._at_s)
        self._level = min(self._limits.burst, self._level + minted)
        self._at_s = now_s
        if self._level < 1:
            return False
        self._level -= 1
        return True


@dataclasses.dataclass
class Request:
    """One request of a caller and its outcome.

    Attributes:
        organisation: Organisation of the caller.
        node: Node that the caller sent it to.
        at_s: Time of arrival.
        within_rate: Whether one bucket for the whole fleet would admit it.
        admitted_s: Time of admission, or None.
        refusal: Refusal, or None if the request waits or was admitted.
    """

    organisation: OrganisationId
    node: NodeId
    at_s: float
    within_rate: bool
    admitted_s: float | None = None
    refusal: Refusal | None = None


class LimiterFleet:
    """Nodes with rate limiters, callers and the history of admissions.

    Args:
        seed: Seed of all random choices.
        node_count: Number of listed nodes.
        organisations: Limits by organisation.
        method: How nodes share a rate.
        settings: Settings of the limiter.
        faults: Faults of the network.
        tick_s: Seconds between two ticks of a node.
        waiting: Whether requests without a token wait for one.
    """

    def __init__(
        self,
        seed: int,
        node_count: int,
        organisations: dict[OrganisationId, Organisation],
        method: SharingMethod = SharingMethod.LEASED,
        settings: LimitSettings | None = None,
        faults: Faults | None = None,
        tick_s: float = 0.02,
        waiting: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.method = method
        self.settings = settings or LimitSettings()
        self.tick_s = tick_s
        self.waiting = waiting
        faults = faults or Faults(loss=0.01, delay_s=(0.001, 0.002))
        self.network = VirtualNetwork(self.rng, faults)
        self.nodes = [
            NodeId(f"127.0.0.{n}:7000") for n in range(1, node_count + 1)
        ]
        self.platform = VirtualPlatform(self.nodes, organisations)
        if method is SharingMethod.OWNER:
            views = self.platform.views
            for node in views:
                views[node] = OwnerView(
                    node, self.platform, silence_timeout_s=OWNER_VOTE_LIFE_S
                )
        self.limiters: dict[NodeId, RateLimiter] = {}
        self.requests: list[Request] = []
        self.admitted_s: dict[OrganisationId, list[float]] = {}
        self._reference = {
            name: ReferenceBucket(limits)
            for name, limits in organisations.items()
        }
        self._waiting: dict[NodeId, list[Request]] = {}
        #: Time of the one scheduled re-check of each node; one for each waiting
        #: request would let events multiply.
        self._recheck_at_s: dict[NodeId, float] = {}
        self._frozen: set[NodeId] = set()
        # The processes started handover_s ago, so that they mint from time 0.
        restart_wait_s = self.settings.handover_s * self.settings.clock_margin
        for node in self.nodes:
            self.start(node, -restart_wait_s)

    # Nodes.

    def start(self, node: NodeId, start_s: float | None = None) -> None:
        """Starts a process on a node, also after a kill."""
        now_s = self.network.now_s
        peer = Peer(node, Incarnation(self.rng.getrandbits(48)))
        view = self.view(node)
        limiter = LIMITER_TYPES[self.method](
            peer,
            view,
            self.rng,
            view.to_local_s(now_s if start_s is None else start_s),
            self.settings,
        )
        self.limiters[node] = limiter
        self._waiting[node] = []
        self._frozen.discard(node)
        self.platform.down_since_s.pop(node, None)

        def on_message(
            sender: Peer, body: Message, now_s: float
        ) -> list[Outbound]:
            local_s = view.to_local_s(now_s)
            messages = limiter.on_message(sender, body, local_s)
            self._recheck_waiting(node)
            return messages

        def on_tick(now_s: float) -> list[Outbound]:
            return limiter.on_tick(view.to_local_s(now_s))

        self.network.add(peer, on_message, on_tick, self.tick_s)

    def kill(self, node: NodeId) -> None:
        """Kills a process; the requests that wait there are lost."""
        self.network.kill(node)
        self.limiters.pop(node, None)
        self._frozen.discard(node)
        self.platform.down_since_s[node] = self.network.now_s

    def drain(self, node: NodeId) -> None:
        """Ends a process after it has handed over its shares."""
        if node not in self.limiters or node in self._frozen:
            return
        local_s = self.view(node).to_local_s(self.network.now_s)
        messages = self.limiters[node].hand_over(local_s)
        self.network.send(node, messages)
        self.kill(node)

    def freeze(self, node: NodeId) -> None:
        """Suspends a process, which also stops its confirmations."""
        if node not in self._frozen and node in self.limiters:
            self._frozen.add(node)
            self.view(node).unconfirmed_since_s = self.network.now_s
            self.network.freeze(node)

    def resume(self, node: NodeId) -> None:
        """Resumes a frozen process; confirmations follow a little later."""
        if node in self._frozen:
            self._frozen.discard(node)
            self.network.resume(node)
            self._recheck_waiting(node)
            self.network.call_at(
                self.network.now_s + 0.01, self._resume_confirmations, node
            )

    def view(self, node: NodeId) -> FleetView:
        """Returns the view that a node has of the fleet."""
        return self.platform.views[node]

    def _resume_confirmations(self, node: NodeId) -> None:
        if node not in self._frozen:
            self.view(node).unconfirmed_since_s = None

    # Callers.

    def schedule_poisson_requests(
        self,
        organisation: OrganisationId,
        nodes: list[NodeId],
        per_s: float,
        start_s: float,
        end_s: float,
    ) -> None:
        """Schedules Poisson arrivals at random nodes of a list."""
        at_s = start_s + self.rng.expovariate(per_s)
        while at_s < end_s:
            node = self.rng.choice(nodes)
            self.network.call_at(at_s, self.send_request, organisation, node)
            at_s += self.rng.expovariate(per_s)

    def send_request(self, organisation: OrganisationId, node: NodeId) -> None:
        """Sends one request; a node that is not ready forwards it."""
        now_s = self.network.now_s
        within_rate = self._reference[organisation].admit(now_s)
        request = Request(organisation, node, now_s, within_rate)
        self.requests.append(request)
        if node in self._frozen:
            self._waiting[node].append(request)
            return
        if not self._is_ready(node):
            ready = [n for n in self.nodes if self._is_ready(n)]
            if not ready:
                return
            node = self.rng.choice(ready)
        self._admit(node, request, is_recheck=False)

    def _is_ready(self, node: NodeId) -> bool:
        limiter = self.limiters.get(node)
        if limiter is None or node in self._frozen:
            return False
        local_s = self.view(node).to_local_s(self.network.now_s)
        return limiter.is_ready(local_s) and self.view(node).is_fresh(local_s)

    def _admit(self, node: NodeId, request: Request, is_recheck: bool) -> bool:
        """Admits or refuses a request; returns False if it waits."""
        limiter = self.limiters[node]
        now_s = self.network.now_s
        view = self.view(node)
        local_s = view.to_local_s(now_s)
        result = limiter.admit(request.organisation, local_s, is_recheck)
        if result.is_ok():
            request.admitted_s = now_s
            self.admitted_s.setdefault(request.organisation, []).append(now_s)
            return True
        self.network.send(
            node, limiter.request_tokens(request.organisation, local_s)
        )
        until_s = limiter.wait_until_s(request.organisation, local_s)
        wait_end_s = request.at_s + self.settings.wait_s
        waiting = self._waiting[node]
        is_full = not is_recheck and len(waiting) >= MAX_WAITING_REQUESTS
        if (
            not self.waiting
            or until_s is None
            or now_s >= wait_end_s
            or is_full
        ):
            request.refusal = result.error
            return True
        if not is_recheck:
            waiting.append(request)
        # A re-check at the current time would repeat without end.
        recheck_s = max(
            min(view.to_virtual_s(until_s), wait_end_s), now_s + 0.001
        )
        scheduled_s = self._recheck_at_s.get(node, float("inf"))
        if not now_s < scheduled_s <= recheck_s:
            self._recheck_at_s[node] = recheck_s
            self.network.call_at(recheck_s, self._recheck_waiting, node)
        return False

    def _recheck_waiting(self, node: NodeId) -> None:
        """Checks the waiting requests of a node again, the oldest first."""
        if node in self._frozen or node not in self.limiters:
            return
        waiting, self._waiting[node] = self._waiting[node], []
        out_of_tokens: set[OrganisationId] = set()
        now_s = self.network.now_s
        for request in waiting:
            expired = now_s >= request.at_s + self.settings.wait_s
            if request.organisation in out_of_tokens and not expired:
                self._waiting[node].append(request)
            elif not self._admit(node, request, is_recheck=True):
                self._waiting[node].append(request)
                out_of_tokens.add(request.organisation)

    def run(self, until_s: float) -> None:
        """Runs up to a virtual time."""
        self.network.run(until_s)


def largest_excess(
    times_s: list[float], limits: Organisation | LimitHistory
) -> float:
    """Returns the largest admissions - minted - burst over all windows.

    A window from admission i to admission j holds j - i + 1 admissions. With
    d(k) = k - minted(time(k)), the excess is the largest
    d(j) - min over i <= j of (d(i) + burst(time(i))) + 1.

    Args:
        times_s: Times of the admissions.
        limits: Constant limits, or the limits in force over time.

    Example:
        >>> largest_excess([0.0, 0.0], Organisation(rate_per_s=1, burst=2))
        0.0
    """
    if isinstance(limits, Organisation):
        limits = LimitHistory([(float("-inf"), limits)])
    largest = lowest = float("inf")
    largest = -largest
    for index, at_s in enumerate(sorted(times_s)):
        distance = index - limits.minted(at_s)
        lowest = min(lowest, distance + limits.burst(at_s))
        largest = max(largest, distance - lowest + 1)
    return largest
