"""Rounds of probes, and the permits that come of them."""

import itertools
import random
from collections.abc import Callable, Mapping, Sequence

from egretrock.coordination.base import Counters, NullCounters, Outbound
from egretrock.coordination.probing._readings import (
    Candidate,
    LoadProbe,
    LoadReading,
    TargetMemory,
)
from egretrock.coordination.probing._rounds import Demand, Round, Ticket
from egretrock.coordination.probing._settings import ChoiceSettings
from egretrock.coordination.probing._subsets import TargetSubsets
from egretrock.coordination.targets import (
    Assignment,
    CallOutcome,
    CallResult,
    Permit,
)
from egretrock.state.config import Target
from egretrock.state.ids import (
    OrganisationId,
    ServiceId,
    TargetId,
    TicketId,
)

#: Returns the usable targets of a service: listed, not leaving, and in a data
#: centre that is in service.
ServiceView = Callable[[ServiceId], Mapping[TargetId, Target]]

_FAILURES = frozenset(
    {
        CallOutcome.ERROR,
        CallOutcome.LOST,
        CallOutcome.SHED,
        CallOutcome.TIMEOUT,
    }
)


_DEFAULTS = ChoiceSettings()


class TargetChooser:
    """Asks targets for their load and gives out permits for the best.

    It stands in the place of a client of target homes: it needs no other
    node, so that it works from the first moment of a process on. The node
    sends the probes of ``take_probes`` and hands the answers to
    ``on_reading``.

    Args:
        targets_of: Usable targets of a service.
        subsets: Targets that this node prefers.
        rng: Source of the order in which targets are asked.
        settings: Bounds.
        counters: Counters.
        node_count: Returns the nodes among which the probes are divided.
        on_probes: Called when there are new probes to send; the callee sends
            them after it has returned.
    """

    def __init__(
        self,
        targets_of: ServiceView,
        subsets: TargetSubsets,
        rng: random.Random,
        settings: ChoiceSettings = _DEFAULTS,
        counters: Counters | None = None,
        node_count: Callable[[], int] = lambda: 1,
        on_probes: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_probes = on_probes
        self._node_count = node_count
        self._targets_of = targets_of
        self._subsets = subsets
        self._rng = rng
        self.settings = settings
        self._counters = counters or NullCounters()
        self._demands: dict[ServiceId, Demand] = {}
        self._service_of: dict[TicketId, ServiceId] = {}
        self._memory: dict[TargetId, TargetMemory] = {}
        self._probes: dict[int, tuple[Round, float]] = {}
        self._numbers = itertools.count(1)
        self._unsent: list[LoadProbe] = []
        self._assignments: list[Assignment] = []

    # PermitPort.

    def request(
        self,
        ticket: TicketId,
        service: ServiceId,
        organisation: OrganisationId,
        excluded: frozenset[TargetId],
        deadline_s: float,
        now_s: float,
    ) -> list[Outbound]:
        """Asks for a target for one waiting request."""
        del organisation, deadline_s
        demand = self._demands.setdefault(service, Demand())
        demand.tickets[ticket] = Ticket(service, excluded)
        self._service_of[ticket] = service
        self._start_rounds(service, demand, now_s)
        return []

    def poll(self, now_s: float) -> list[Assignment]:
        """Returns the permits given out since the last call."""
        del now_s
        assignments, self._assignments = self._assignments, []
        return assignments

    def may_dispatch(self, permit: Permit, now_s: float) -> bool:
        """Returns whether the reading behind a permit is still of use."""
        return now_s < permit.expires_s

    def finish(
        self, permit: Permit, result: CallResult, now_s: float
    ) -> list[Outbound]:
        """Takes how a request ended."""
        memory = self._memory.get(permit.target)
        if memory is not None:
            memory.on_finished()
        if memory is None or result.outcome is CallOutcome.UNUSED:
            return []
        if result.outcome is CallOutcome.REFUSED:
            memory.on_silence(now_s)
        if result.outcome is not CallOutcome.CANCELLED:
            memory.on_outcome(result.outcome in _FAILURES, now_s)
        return []

    def cancel(self, ticket: TicketId, now_s: float) -> list[Outbound]:
        """Withdraws a waiting request."""
        del now_s
        service = self._service_of.pop(ticket, None)
        if service is not None:
            self._demands[service].tickets.pop(ticket, None)
        return []

    def connection_lost(
        self, service: ServiceId, target: TargetId, now_s: float
    ) -> list[Outbound]:
        """A target closed a connection; the next probe shows why."""
        del service, target, now_s
        return []

    def pool_empty(
        self, service: ServiceId, target: TargetId, now_s: float
    ) -> list[Outbound]:
        """No connection to a target is open; the next probe opens one."""
        del service, target, now_s
        return []

    # Probes.

    def has_demand(self) -> bool:
        """Returns whether requests wait for a target."""
        return bool(self._service_of)

    def take_probes(self) -> list[LoadProbe]:
        """Returns the probes to send."""
        unsent, self._unsent = self._unsent, []
        return unsent

    def on_reading(
        self, probe: LoadProbe, reading: LoadReading | None, now_s: float
    ) -> None:
        """Takes the answer to a probe, or None where there was none."""
        round_, asked_s = self._probes.pop(probe.number, (None, now_s))
        memory = self._memory.setdefault(probe.target, TargetMemory())
        if reading is None:
            memory.on_silence(now_s)
            self._counters.increment("probes.failed")
        else:
            memory.on_reading(reading, asked_s, now_s)
        if round_ is None or round_.is_over:
            return
        round_.pending.discard(probe.number)
        if reading is not None:
            if round_.first_answer_s is None:
                round_.first_answer_s = now_s
            self._add_candidate(round_, probe.target, memory, now_s)
        self._advance(round_, now_s)

    def on_tick(self, now_s: float) -> list[Outbound]:
        """Ends rounds that have waited for long enough and starts new ones."""
        for service, demand in list(self._demands.items()):
            for round_ in list(demand.rounds):
                self._advance(round_, now_s)
            self._start_rounds(service, demand, now_s)
            if not demand.tickets and not demand.rounds:
                self._sweep()
        return []

    # Rounds.

    def _start_rounds(
        self, service: ServiceId, demand: Demand, now_s: float
    ) -> None:
        """Keeps as many rounds going as requests wait, within the bound."""
        wanted = min(len(demand.tickets), self.settings.max_rounds)
        while len(demand.rounds) < wanted and now_s >= demand.next_round_s:
            targets = self._targets_of(service)
            rate_per_s = self.settings.probes_per_target_s * len(targets)
            demand.budget.refill(rate_per_s / self._node_count(), now_s)
            if demand.budget.tokens < 1.0 and self._assign_unprobed(
                service, demand, now_s
            ):
                wanted = min(len(demand.tickets), self.settings.max_rounds)
                continue
            round_ = Round(service, now_s)
            demand.rounds.append(round_)
            near = self._subsets.of(service, targets).near
            if not self._ask(round_, [near], self.settings.near, now_s):
                self._ask_far(round_, now_s)
            if not round_.pending:
                self._end(round_, now_s)

    def _assign_unprobed(
        self, service: ServiceId, demand: Demand, now_s: float
    ) -> bool:
        """Gives the next request a target by the last readings.

        Returns:
            Whether a target was found.
        """
        rounds = len(demand.rounds)
        ticket_id, ticket = list(demand.tickets.items())[rounds]
        round_ = Round(service, now_s)
        targets = list(self._targets_of(service))
        self._rng.shuffle(targets)
        for target_id in targets:
            memory = self._memory.get(target_id)
            if target_id in ticket.excluded or memory is None:
                continue
            if memory.reading is None or now_s < memory.resume_s:
                continue
            self._add_candidate(round_, target_id, memory, now_s)
            candidate = round_.found.get(target_id)
            if candidate is not None and not (
                self._is_fit(candidate) and self._has_room(candidate)
            ):
                del round_.found[target_id]
            if len(round_.found) >= self.settings.unprobed_choices:
                break
        if not round_.found:
            return False
        self._counters.increment("choice.unprobed")
        best = min(round_.found.values(), key=lambda c: c.cost())
        self._assign(ticket_id, ticket, best, round_, now_s)
        return True

    def _ask_far(self, round_: Round, now_s: float) -> None:
        round_.asked_far = True
        service = round_.service
        tiers = self._subsets.of(service, self._targets_of(service))
        self._ask(round_, tiers, self.settings.far, now_s)

    def _ask(
        self,
        round_: Round,
        tiers: Sequence[list[TargetId]],
        count: int,
        now_s: float,
    ) -> bool:
        """Sends up to ``count`` probes; returns whether any was sent.

        Targets of an earlier tier are asked first, and those that looked
        slow of late after all others. The first probe of a round is sent
        whatever the budget says.
        """
        targets = self._targets_of(round_.service)
        ready, resting = self._sort_tiers(round_, tiers, now_s)
        budget = self._demands[round_.service].budget
        # A budget that runs short gives every request fewer probes, which is
        # better than many for some and none for others.
        count = max(self.settings.least, round(count * budget.level))
        sent = False
        for target_id in (ready + resting)[:count]:
            if budget.tokens < 1.0 and (sent or round_.asked):
                self._counters.increment("probes.saved")
                break
            budget.spend()
            sent = True
            number = next(self._numbers)
            round_.pending.add(number)
            round_.asked.add(target_id)
            self._probes[number] = (round_, now_s)
            self._unsent.append(
                LoadProbe(
                    number,
                    round_.service,
                    target_id,
                    targets[target_id].address,
                    self.settings.probe_timeout_s,
                )
            )
            self._counters.increment("probes.sent")
        if sent:
            self._on_probes()
        return sent

    def _sort_tiers(
        self, round_: Round, tiers: Sequence[list[TargetId]], now_s: float
    ) -> tuple[list[TargetId], list[TargetId]]:
        """Returns the targets to ask: those in good state, and the others."""
        left_out = self._excluded(round_.service) | round_.asked
        ready, resting = [], []
        for tier in tiers:
            good, poor = [], []
            for target_id in tier:
                memory = self._memory.get(target_id)
                if target_id in left_out:
                    continue
                if memory is not None and now_s < memory.resume_s:
                    continue
                is_slow = self._was_slow(memory, now_s)
                (poor if is_slow else good).append(target_id)
            self._rng.shuffle(good)
            self._rng.shuffle(poor)
            ready += good
            resting += poor
        return ready, resting

    def _excluded(self, service: ServiceId) -> frozenset[TargetId]:
        """Returns the targets that no waiting request may go to."""
        tickets = self._demands[service].tickets.values()
        excluded = None
        for ticket in tickets:
            if not ticket.excluded:
                return frozenset()
            if excluded is None:
                excluded = ticket.excluded
            else:
                excluded &= ticket.excluded
        return excluded or frozenset()

    def _was_slow(self, memory: TargetMemory | None, now_s: float) -> bool:
        """Returns whether a recent reading makes a target a poor guess."""
        if memory is None or memory.reading is None:
            return False
        reading = memory.reading
        if reading.cold_s > now_s - memory.read_s:
            return True
        if now_s - memory.read_s > self.settings.recent_s:
            return memory.failure_rate(now_s) > 0.5
        full = reading.running + reading.waiting >= reading.slots
        return full or reading.pace > self.settings.good_cost

    def _add_candidate(
        self,
        round_: Round,
        target_id: TargetId,
        memory: TargetMemory,
        now_s: float,
    ) -> None:
        target = self._targets_of(round_.service).get(target_id)
        if target is None:
            return
        candidate = Candidate(
            target_id,
            target,
            memory.reading,
            0,
            memory.failure_rate(now_s),
        )
        self._refresh(candidate)
        round_.found[target_id] = candidate

    def _refresh(self, candidate: Candidate) -> None:
        """Takes the newest reading, which another round may have brought."""
        memory = self._memory[candidate.id]
        reading = candidate.reading = memory.reading
        candidate.busy = reading.running + reading.waiting + memory.unseen()

    def _ends_s(self, round_: Round) -> float:
        if round_.first_answer_s is not None:
            return round_.first_answer_s + self.settings.wait_s
        return round_.started_s + self.settings.longest_wait_s

    def _advance(self, round_: Round, now_s: float) -> None:
        """Ends a round, or widens it, once its answers are here."""
        if round_.is_over:
            return
        if not self._has_good(round_):
            if not round_.asked_far and self._is_near_known(round_, now_s):
                round_.first_answer_s = None
                round_.started_s = now_s
                self._ask_far(round_, now_s)
            if round_.pending and now_s < self._ends_s(round_):
                return
        self._end(round_, now_s)

    def _is_near_known(self, round_: Round, now_s: float) -> bool:
        """Returns whether the near targets have shown that they will not do.

        The first answer is enough: the others would take as long as those of
        far targets.
        """
        answered = round_.first_answer_s is not None
        return answered or not round_.pending or now_s >= self._ends_s(round_)

    def _has_good(self, round_: Round) -> bool:
        for candidate in round_.found.values():
            self._refresh(candidate)
            is_good = candidate.cost() <= self.settings.good_cost
            if is_good and self._is_fit(candidate):
                return True
        return False

    def _is_fit(self, candidate: Candidate) -> bool:
        reading = candidate.reading
        if not reading.healthy or reading.cold_s > 0 or reading.slots < 1:
            return False
        named = reading.instance
        return named is None or named == candidate.id

    def _end(self, round_: Round, now_s: float) -> None:
        """Gives the targets found to the requests that wait."""
        round_.is_over = True
        demand = self._demands[round_.service]
        demand.rounds.remove(round_)
        for candidate in round_.found.values():
            self._refresh(candidate)
        fit = [c for c in round_.found.values() if self._is_fit(c)]
        # Each round stands for one request; the last one also for those that
        # the bound on rounds kept waiting.
        wanted = max(1, len(demand.tickets) - len(demand.rounds))
        given = 0
        for ticket_id, ticket in list(demand.tickets.items()):
            usable = [
                c
                for c in fit
                if c.id not in ticket.excluded and self._has_room(c)
            ]
            if not usable:
                continue
            best = min(usable, key=lambda c: c.cost())
            if given and (given >= wanted or not best.free_slots):
                break
            self._assign(ticket_id, ticket, best, round_, now_s)
            given += 1
        if not given:
            self._counters.increment("choice.no_room")
            demand.next_round_s = now_s + self.settings.retry_s

    def _has_room(self, candidate: Candidate) -> bool:
        slots = candidate.reading.slots
        limit = slots * (1.0 + self.settings.max_waiting_ratio)
        return candidate.busy + 1 <= limit

    def _assign(
        self,
        ticket_id: TicketId,
        ticket: Ticket,
        chosen: Candidate,
        round_: Round,
        now_s: float,
    ) -> None:
        del self._demands[ticket.service].tickets[ticket_id]
        del self._service_of[ticket_id]
        chosen.busy += 1
        self._memory[chosen.id].on_sent(now_s)
        permit = Permit(
            next(self._numbers),
            ticket.service,
            chosen.id,
            chosen.target.address,
            chosen.reading.instance,
            now_s + self.settings.permit_s,
            True,
            self._basis(chosen, round_, now_s),
        )
        self._assignments.append(Assignment(ticket_id, permit))

    def _basis(self, chosen: Candidate, round_: Round, now_s: float) -> str:
        """Returns the readings that the choice rests on, for the log."""
        age_ms = (now_s - self._memory[chosen.id].read_s) * 1000
        reading = chosen.reading
        return (
            f"busy {chosen.busy - 1} of {reading.slots}, pace"
            f" {reading.pace:.2f}, read {age_ms:.0f} ms ago;"
            f" {len(round_.found)} of {len(round_.asked)} answered"
        )

    def _sweep(self) -> None:
        """Forgets targets that are listed no more, now and then."""
        if self._rng.random() > 0.01:
            return
        listed = {t for s in self._demands for t in self._targets_of(s)}
        for target_id in self._memory.keys() - listed:
            del self._memory[target_id]
