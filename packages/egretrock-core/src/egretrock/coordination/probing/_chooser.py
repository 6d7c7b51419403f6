"""Rounds of probes, and the permits that result from them."""

import functools
import itertools
import random
from collections.abc import Callable

from egretrock.coordination.base import Counters, NullCounters, Outbound
from egretrock.coordination.bounds import (
    LimitReport,
    TargetBounds,
    Unbounded,
)
from egretrock.coordination.probing._candidates import Candidate
from egretrock.coordination.probing._needs import Needs, needs_of
from egretrock.coordination.probing._ports import (
    IdleConnections,
    NoConnections,
    NoEvidence,
    TargetEvidence,
)
from egretrock.coordination.probing._probe_order import ProbeOrder
from egretrock.coordination.probing._probe_sender import ProbeSender
from egretrock.coordination.probing._readings import (
    LoadProbe,
    LoadReading,
    TargetStats,
)
from egretrock.coordination.probing._rounds import (
    ProbeRound,
    ServiceDemand,
    Ticket,
)
from egretrock.coordination.probing._selection import TargetSelector
from egretrock.coordination.probing._settings import ChoiceSettings
from egretrock.coordination.probing._subsets import TargetSubsets
from egretrock.coordination.probing._target_book import (
    TargetBook,
    UsableTargets,
)
from egretrock.coordination.targets import (
    Assignment,
    AttemptResult,
    Permit,
    RequestStake,
)
from egretrock.state.ids import (
    OrganisationId,
    ServiceId,
    TargetId,
    TicketId,
)

_DEFAULTS = ChoiceSettings()


class TargetChooser:
    """Probes targets for their load and issues permits for the best ones.

    It has the methods of the ``TargetClient`` in ``coordination.targets`` that
    the request path calls, but asks no other node, so it works from the start
    of the process. The caller sends the
    probes from ``take_probes`` and passes the answers to ``on_reading``.

    Args:
        targets_of: Returns the usable targets of a service.
        subsets: Targets that this node prefers.
        rng: Random source for the order of probing.
        settings: Settings.
        counters: Metrics.
        node_count: Returns the number of nodes that share the probe budget.
        bounds: Bounds on the requests that all nodes send to a target.
        warm_up_rate_of: Returns the requests per second that a cold target of
            a service takes from all nodes, or None if it takes none.
        on_probes_due: Called when there are new probes to send, while the
            chooser is updating its state; must not send them before it
            returns.
        evidence: Outcomes of attempts at the targets, also those of other
            nodes.
        connections: Open connections of this node.
    """

    def __init__(
        self,
        targets_of: UsableTargets,
        subsets: TargetSubsets,
        rng: random.Random,
        settings: ChoiceSettings = _DEFAULTS,
        counters: Counters | None = None,
        node_count: Callable[[], int] = lambda: 1,
        on_probes_due: Callable[[], None] = lambda: None,
        bounds: TargetBounds | Unbounded | None = None,
        warm_up_rate_of: Callable[[ServiceId], float | None] = lambda _: None,
        evidence: TargetEvidence | None = None,
        connections: IdleConnections | None = None,
    ) -> None:
        self._warm_up_rate_of = warm_up_rate_of
        self._bounds = bounds or Unbounded()
        self._node_count = node_count
        self._targets_of = targets_of
        self._subsets = subsets
        self._rng = rng
        self.settings = settings
        self._counters = counters or NullCounters()
        self._demands: dict[ServiceId, ServiceDemand] = {}
        self._service_of: dict[TicketId, ServiceId] = {}
        evidence = evidence or NoEvidence()
        self._connections = connections or NoConnections()
        self._book = TargetBook(evidence, settings, warm_up_rate_of)
        self._id_sequence = itertools.count(1)
        self._probes = ProbeSender(
            targets_of,
            ProbeOrder(
                self._book.stats,
                settings,
                self._bounds,
                evidence,
                self._connections,
                rng,
            ),
            settings,
            self._id_sequence,
            self._counters,
            on_probes_due,
        )
        self._selector = TargetSelector(
            settings, evidence, self._connections, self._counters
        )
        self._assignments: list[Assignment] = []

    # Methods for the request path.

    def request(
        self,
        ticket: TicketId,
        service: ServiceId,
        organisation: OrganisationId,
        excluded: frozenset[TargetId],
        deadline_s: float,
        now_s: float,
        stake: RequestStake | None = None,
    ) -> list[Outbound]:
        """Requests a target for one waiting request."""
        del organisation, deadline_s
        demand = self._demands.setdefault(service, ServiceDemand())
        demand.tickets[ticket] = Ticket(service, excluded, now_s, stake)
        if excluded:
            # A second attempt has less time left than those that wait for
            # their first.
            demand.tickets.move_to_end(ticket, last=False)
        self._service_of[ticket] = service
        self._start_rounds(service, demand, now_s)
        return []

    def poll(self, now_s: float) -> list[Assignment]:
        """Returns the permits issued since the last call."""
        del now_s
        assignments, self._assignments = self._assignments, []
        return assignments

    def may_dispatch(self, permit: Permit, now_s: float) -> bool:
        """Returns whether a permit is still valid."""
        return now_s < permit.expires_s

    def finish(
        self, permit: Permit, result: AttemptResult, now_s: float
    ) -> list[Outbound]:
        """Records the outcome of a request."""
        self._book.on_finished(permit, result, now_s)
        return []

    def cancel(self, ticket: TicketId, now_s: float) -> list[Outbound]:
        """Removes a waiting request."""
        del now_s
        service = self._service_of.pop(ticket, None)
        if service is not None:
            self._demands[service].tickets.pop(ticket, None)
        return []

    def on_connection_lost(
        self, service: ServiceId, target: TargetId, now_s: float
    ) -> list[Outbound]:
        """Does nothing: each choice asks which connections are open."""
        del service, target, now_s
        return []

    def on_pool_empty(
        self, service: ServiceId, target: TargetId, now_s: float
    ) -> list[Outbound]:
        """Does nothing: each choice asks which connections are open."""
        del service, target, now_s
        return []

    def on_limit_reported(
        self, target: TargetId, report: LimitReport, now_s: float
    ) -> list[Outbound]:
        """Records the limit that an answer of a target tells."""
        self._bounds.on_report(target, report, now_s)
        return []

    # Probes.

    def has_demand(self) -> bool:
        """Returns whether any request is waiting for a target."""
        return bool(self._service_of)

    def take_probes(self) -> list[LoadProbe]:
        """Returns the probes to send."""
        return self._probes.take_unsent()

    def on_reading(
        self, probe: LoadProbe, reading: LoadReading | None, now_s: float
    ) -> None:
        """Processes the answer to a probe, or None if it was unanswered."""
        probe_round, sent_s = self._probes.pop_pending(probe.number) or (
            None,
            now_s,
        )
        stats = self._book.stats.setdefault(probe.target, TargetStats())
        if reading is None:
            stats.on_no_answer(now_s)
            self._counters.increment("probes.failed")
        else:
            stats.on_reading(reading, sent_s, now_s)
            self._report_bounds(probe, reading, now_s)
        if probe_round is None or probe_round.is_finished:
            return
        probe_round.pending_probes.discard(probe.number)
        if reading is not None:
            if probe_round.first_answer_s is None:
                probe_round.first_answer_s = now_s
            self._add_candidate(probe_round, probe.target, now_s)
        self._advance(probe_round, now_s)

    def _report_bounds(
        self, probe: LoadProbe, reading: LoadReading, now_s: float
    ) -> None:
        if reading.limit is not None:
            self._bounds.on_report(probe.target, reading.limit, now_s)
        rate_per_s = None
        if reading.cold_s > 0:
            rate_per_s = self._warm_up_rate_of(probe.service)
        self._bounds.on_warm_up(probe.target, rate_per_s, now_s)

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Finishes rounds that have timed out and starts new ones."""
        for service, demand in list(self._demands.items()):
            for probe_round in list(demand.rounds):
                self._advance(probe_round, now_s)
            self._start_rounds(service, demand, now_s)
            if not demand.tickets and not demand.rounds:
                self._drop_unlisted_targets()
        return []

    # Rounds.

    def _start_rounds(
        self, service: ServiceId, demand: ServiceDemand, now_s: float
    ) -> None:
        """Runs one round per waiting request, up to ``max_rounds``."""
        wanted_count = min(len(demand.tickets), self.settings.max_rounds)
        while (
            len(demand.rounds) < wanted_count and now_s >= demand.next_round_s
        ):
            targets = self._targets_of(service)
            rate_per_s = self.settings.probes_per_target_s * len(targets)
            demand.budget.refill(rate_per_s / self._node_count(), now_s)
            if demand.budget.tokens < 1.0 and self._assign_unprobed(
                service, demand, now_s
            ):
                wanted_count = min(
                    len(demand.tickets), self.settings.max_rounds
                )
                continue
            probe_round = ProbeRound(service, now_s)
            demand.rounds.append(probe_round)
            near = self._subsets.subset_of(service, targets).near
            if not self._probes.send(
                probe_round,
                demand,
                [near],
                self.settings.near_probe_count,
                now_s,
            ):
                self._widen_round(probe_round, now_s)
            if not probe_round.pending_probes:
                self._finish_round(probe_round, now_s)

    def _assign_unprobed(
        self, service: ServiceId, demand: ServiceDemand, now_s: float
    ) -> bool:
        """Assigns the next request a target by the last readings.

        Returns:
            Whether a target was found.
        """
        # The rounds in progress serve the first tickets.
        round_count = len(demand.rounds)
        ticket_id, ticket = list(demand.tickets.items())[round_count]
        needs = needs_of(ticket, self.settings, now_s)
        probe_round = ProbeRound(service, now_s)
        if not demand.budget.may_overdraw():
            # Another round would cost a probe that the fleet cannot afford.
            needs = needs.without_holding()
        oldest_s = self._oldest_usable_s(service, demand, needs, now_s)
        targets = list(self._targets_of(service))
        self._rng.shuffle(targets)
        for target_id in targets:
            stats = self._book.stats.get(target_id)
            if target_id in ticket.excluded or stats is None:
                continue
            if stats.reading is None or now_s < stats.next_probe_s:
                continue
            if stats.read_at_s < oldest_s:
                continue
            self._add_candidate(probe_round, target_id, now_s)
            candidate = probe_round.candidates.get(target_id)
            if candidate is not None and not (
                self._book.is_eligible(candidate)
                and self._book.has_room(candidate)
                and self._may_send_or_ask(candidate, now_s)
            ):
                del probe_round.candidates[target_id]
            if len(probe_round.candidates) >= self.settings.unprobed_choices:
                break
        best = self._selector.select(
            probe_round.candidates.values(), needs, lambda _: True, now_s
        )
        if best is None:
            return False
        self._counters.increment("choice.unprobed")
        self._assign(ticket_id, ticket, best, probe_round, now_s)
        return True

    def _oldest_usable_s(
        self,
        service: ServiceId,
        demand: ServiceDemand,
        needs: Needs,
        now_s: float,
    ) -> float:
        """Returns the time of the oldest reading that a request may rely on.

        A request that would be late at the slowest target needs a reading of
        this moment, or else probes as long as the overdraft lasts.
        """
        if not demand.budget.may_overdraw():
            return float("-inf")
        slowest = self._book.slowest_service_time(self._targets_of(service))
        if needs.on_time_slowdown > slowest:
            return float("-inf")
        return now_s - self.settings.moment_s

    def _widen_round(self, probe_round: ProbeRound, now_s: float) -> None:
        """Probes further targets of all tiers, near ones first."""
        probe_round.is_widened = True
        service = probe_round.service
        tiers = self._subsets.subset_of(service, self._targets_of(service))
        self._probes.send(
            probe_round,
            self._demands[service],
            tiers,
            self.settings.far_probe_count,
            now_s,
        )

    def _add_candidate(
        self,
        probe_round: ProbeRound,
        target_id: TargetId,
        now_s: float,
    ) -> None:
        target = self._targets_of(probe_round.service).get(target_id)
        if target is None:
            return
        probe_round.candidates[target_id] = self._book.candidate(
            target_id, target, now_s
        )

    def _round_deadline_s(self, probe_round: ProbeRound) -> float:
        if probe_round.first_answer_s is not None:
            return (
                probe_round.first_answer_s + self.settings.more_answers_wait_s
            )
        return probe_round.started_s + self.settings.first_answer_wait_s

    def _advance(self, probe_round: ProbeRound, now_s: float) -> None:
        """Finishes a round, widens it, or leaves it waiting for answers."""
        if probe_round.is_finished:
            return
        if not self._has_good_candidate(probe_round, now_s):
            if not probe_round.is_widened and self._may_widen(
                probe_round, now_s
            ):
                probe_round.first_answer_s = None
                probe_round.started_s = now_s
                self._widen_round(probe_round, now_s)
            if probe_round.pending_probes and now_s < self._round_deadline_s(
                probe_round
            ):
                return
        self._finish_round(probe_round, now_s)

    def _may_widen(self, probe_round: ProbeRound, now_s: float) -> bool:
        """Returns whether a round may be widened beyond near targets.

        It may once half of the targets have answered: the others would rarely
        be better, and waiting for them takes as long as probing far targets.
        """
        pending_count = len(probe_round.pending_probes)
        return 2 * pending_count <= len(
            probe_round.probed_targets
        ) or now_s >= self._round_deadline_s(probe_round)

    def _has_good_candidate(
        self, probe_round: ProbeRound, now_s: float
    ) -> bool:
        needs = self._needs_of_round(probe_round, now_s)
        for candidate in probe_round.candidates.values():
            self._book.update(candidate)
            if (
                self._book.is_eligible(candidate)
                and self._selector.is_good(candidate, needs)
                and self._bounds.may_send(candidate.id, now_s)
            ):
                return True
        return False

    def _needs_of_round(self, probe_round: ProbeRound, now_s: float) -> Needs:
        """Returns the needs of the request that a round most likely serves."""
        demand = self._demands[probe_round.service]
        ticket = next(iter(demand.tickets.values()), None)
        if ticket is None:
            return Needs()
        return needs_of(ticket, self.settings, now_s)

    def _may_send_or_ask(self, candidate: Candidate, now_s: float) -> bool:
        """Returns whether the bounds of a target allow a request now.

        If not, asks the home of the target for the next request.
        """
        if self._bounds.may_send(candidate.id, now_s):
            return True
        self._bounds.want(candidate.id, now_s)
        return False

    def _finish_round(self, probe_round: ProbeRound, now_s: float) -> None:
        """Assigns the candidates of a round to waiting requests."""
        probe_round.is_finished = True
        demand = self._demands[probe_round.service]
        demand.rounds.remove(probe_round)
        for candidate in probe_round.candidates.values():
            self._book.update(candidate)
        eligible = self._book.eligible(
            probe_round.service, probe_round.candidates.values()
        )
        # Each round serves one request. The last one also serves the requests
        # that have no round because of ``max_rounds``.
        wanted_count = max(1, len(demand.tickets) - len(demand.rounds))
        assigned_count = 0
        for ticket_id, ticket in list(demand.tickets.items()):
            if assigned_count >= wanted_count:
                break
            best = self._selector.select(
                (
                    candidate
                    for candidate in eligible
                    if candidate.id not in ticket.excluded
                    and self._book.has_room(candidate)
                ),
                needs_of(ticket, self.settings, now_s),
                functools.partial(self._may_send_or_ask, now_s=now_s),
                now_s,
            )
            if best is None:
                continue
            if assigned_count and not best.free_slots:
                break
            self._assign(ticket_id, ticket, best, probe_round, now_s)
            assigned_count += 1
        if not assigned_count:
            self._counters.increment("choice.no_room")
            demand.next_round_s = now_s + self.settings.retry_s

    def _assign(
        self,
        ticket_id: TicketId,
        ticket: Ticket,
        chosen: Candidate,
        probe_round: ProbeRound,
        now_s: float,
    ) -> None:
        del self._demands[ticket.service].tickets[ticket_id]
        del self._service_of[ticket_id]
        slowdown = chosen.slowdown()
        chosen.occupancy += 1
        self._book.stats[chosen.id].on_sent(now_s)
        self._bounds.on_send(chosen.id, now_s)
        permit = Permit(
            next(self._id_sequence),
            ticket.service,
            chosen.id,
            chosen.target.address,
            chosen.reading.instance,
            now_s + self.settings.permit_s,
            True,  # may use a new connection
            self._choice_basis(chosen, probe_round, now_s),
            slowdown,
            chosen.is_out
            and ticket.stake is not None
            and ticket.stake.is_repeatable,
        )
        self._assignments.append(Assignment(ticket_id, permit))

    def _choice_basis(
        self, chosen: Candidate, probe_round: ProbeRound, now_s: float
    ) -> str:
        """Returns the readings that the choice is based on, for the log."""
        age_ms = (now_s - self._book.stats[chosen.id].read_at_s) * 1000
        reading = chosen.reading
        is_open = self._connections.has_idle_connection(chosen.target.address)
        return (
            f"busy {chosen.occupancy - 1} of {reading.slots}, pace"
            f" {reading.relative_service_time:.2f}, read {age_ms:.0f} ms ago,"
            f" failures {chosen.failure_rate:.2f}"
            f"{', out of service' if chosen.is_out else ''},"
            f" {'open' if is_open else 'new'} connection;"
            f" {len(probe_round.candidates)} of"
            f" {len(probe_round.probed_targets)} answered"
        )

    def _drop_unlisted_targets(self) -> None:
        """Drops the statistics of unlisted targets, in 1% of the calls.

        Those of candidates are kept until their rounds have ended.
        """
        if self._rng.random() > 0.01:
            return
        kept: set[TargetId] = set()
        for service, demand in self._demands.items():
            kept.update(self._targets_of(service))
            for probe_round in demand.rounds:
                kept.update(probe_round.candidates)
        self._book.retain(kept)
