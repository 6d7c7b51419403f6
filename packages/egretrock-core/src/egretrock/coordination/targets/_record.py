"""State of one target and the limit of its outstanding requests."""

import collections
import math

import msgspec

from egretrock.coordination.targets._messages import (
    AttemptOutcome,
    TargetCondition,
    Trust,
)
from egretrock.state.config import Profile, Target
from egretrock.state.ids import InstanceId, NodeId

#: Minimum ramp of a target that returns to service, for example because its
#: data centre does.
RETURN_RAMP_S = 10.0
#: Validity of a load report. Without an end, a target that reports wrong
#: figures would get no more requests.
LOAD_REPORT_S = 1.0
#: Factors of the multiplicative decrease of the limit (AIMD; Chiu and Jain,
#: 1989) after a shed request and after a jump in latency.
SHED_FACTOR = 0.7
LATENCY_JUMP_FACTOR = 0.85
#: Shortest time between two decreases, so that the first can take effect.
DECREASE_INTERVAL_S = 0.1
#: Ratio of the recent to the long-term latency that counts as a jump.
LATENCY_JUMP_RATIO = 2.5
#: Fraction of failed attempts above which a target is failing. If fewer than
#: half of the targets are, these get only trial requests.
FAILING_SHARE = 0.5
#: Weight of one attempt in the moving averages of the recent latency and of the
#: failed share.
RECENT_WEIGHT = 0.2
#: The same for the long-term latency and the transit time.
LONG_TERM_WEIGHT = 0.01
#: Interval between trial requests to a target that fails while others do not.
TRIAL_INTERVAL_S = 0.2
#: Number of attempts above which the long-term latency is used.
MIN_LATENCY_SAMPLES = 20
#: A target counts as reachable for this time after an answer to another node.
REACHABLE_S = 0.3


class Health(msgspec.Struct, frozen=True):
    """Answer to a probe of ``/health`` or ``/load``.

    Attributes:
        instance: Instance that answered.
        condition: State that it reports.
        uptime_s: Seconds since its start, if reported.
        slots: Requests that it can run at the same time, if reported.
        busy: Requests that it runs or queues, if reported.
    """

    instance: InstanceId
    condition: TargetCondition | None = None
    uptime_s: float | None = None
    slots: int | None = None
    busy: int | None = None


class TargetRecord:
    """State of one target and the limit of its outstanding requests.

    Args:
        published: Entry of the target in the configuration.
        profile: Profile of the service.
        now_s: Time at which the home learned of the target.
    """

    def __init__(
        self, published: Target, profile: Profile, now_s: float
    ) -> None:
        self.published = published
        self.profile = profile
        self.trust = Trust.COLD
        self.instance: InstanceId | None = None
        self.eligible = True
        self.last_probe_s = -math.inf
        self.probe_count = 0
        self.last_issue_s = -math.inf
        self.trials_only = False
        self._health_probe_s = -math.inf
        self._instance_since_s = now_s
        self._last_answer_s: dict[NodeId, float] = {}
        self._past_instances: collections.deque[InstanceId] = collections.deque(
            maxlen=8
        )
        self._ramp_start_s = now_s
        self._least_ramp_s = 0.0
        self._successes = 0
        self._suspected_s = -math.inf
        self._limit = float(self.ceiling)
        self._last_decrease_s = -math.inf
        self._recent_latency_s = 0.0
        self._long_term_latency_s = 0.0
        self._latency_samples = 0
        self._transit_s = 0.0
        self.failed_share = 0.0
        self._external_requests = 0
        self._reported_slots = published.slots
        self._load_report_until_s = -math.inf
        self._uptime_s = 0.0

    @property
    def _ramp_s(self) -> float:
        """Length of the ramp by the profile in force, in seconds."""
        return max(self._least_ramp_s, self.profile.warmup.duration_s)

    @property
    def initial_limit(self) -> int:
        """Limit right after the start of an instance."""
        return min(
            self.profile.warmup.initial_concurrency, self.published.slots
        )

    @property
    def ceiling(self) -> int:
        """Limit of a warm target without decreases: slots and a short queue."""
        return self.published.slots + self.profile.balancing.target_queue

    def limit(self, now_s: float) -> int:
        """Returns how many requests of the fleet may be outstanding."""
        if self.trust in (Trust.DOWN, Trust.DRAINING):
            return 0
        if self.trials_only:
            # A target that fails its attempts fast has the lowest load and
            # would otherwise get most of them.
            return int(now_s - self.last_issue_s >= TRIAL_INTERVAL_S)
        if self.trust is Trust.SUSPECT:
            return self.initial_limit
        limit = max(1, int(self._limit))
        if self.trust is Trust.COLD:
            limit = min(limit, self._ramp_limit(now_s))
        elif self._limit >= self.ceiling:
            limit = self.ceiling + self._permits_in_transit()
        if now_s < self._load_report_until_s:
            missing_slots = self.published.slots - self._reported_slots
            limit = max(1, limit - missing_slots - self._external_requests)
        return limit

    def on_permit_returned(
        self, outstanding_s: float, latency_s: float
    ) -> None:
        """Records how long an answered attempt's permit was outstanding."""
        transit_s = max(0.0, outstanding_s - latency_s)
        self._transit_s += LONG_TERM_WEIGHT * (transit_s - self._transit_s)

    def _permits_in_transit(self) -> int:
        """Returns how many permits are outstanding but not at the target.

        By Little's law their ratio to the busy slots is that of the travel
        time of grants and reports to the latency. If the limit did not include
        them, a slot would stay idle while the report of its last request
        travels.
        """
        if self._latency_samples <= MIN_LATENCY_SAMPLES:
            return 0
        slots = self.published.slots
        # At least 1 ms, against division by 0.
        ratio = self._transit_s / max(self._long_term_latency_s, 0.001)
        # Rounded up, since the travel time between node and target is not
        # included: it is part of the latency. Up to a tenth of a permit is
        # rounded down.
        return math.ceil(slots * min(1.0, ratio) - 0.1)

    def inherit(self, instance: InstanceId, now_s: float) -> None:
        """Takes over a warm instance known from the previous home."""
        self.instance = instance
        self.trust = Trust.WARM
        self._ramp_start_s = now_s - self._ramp_s

    def restart_ramp(self, now_s: float, least_s: float) -> None:
        """Restarts the ramp, such as when a data centre returns to service.

        Args:
            now_s: Time.
            least_s: Seconds that the ramp takes at least.
        """
        if self.trust in (Trust.WARM, Trust.COLD):
            self.trust = Trust.COLD
            self._ramp_start_s = now_s
            self._least_ramp_s = least_s
            self._successes = 0

    def suspect(self, now_s: float) -> None:
        """Marks a warm target as suspect until an attempt confirms it."""
        self._suspected_s = now_s
        if self.trust is Trust.WARM:
            self.trust = Trust.SUSPECT

    def on_connect_failed(self, now_s: float) -> None:
        """Marks the target as down until a probe or an attempt succeeds."""
        self._suspected_s = now_s
        self.trust = Trust.DOWN

    def on_instance(
        self, instance: InstanceId, requested_s: float, now_s: float
    ) -> bool:
        """Handles the instance id in an answer.

        Args:
            instance: Instance that answered.
            requested_s: Time of the request, or an earlier one.
            now_s: Time.

        Returns:
            False for a late answer of an instance that has been replaced.
        """
        if instance == self.instance:
            return True
        if (
            instance in self._past_instances
            and requested_s < self._instance_since_s
        ):
            return False
        if self.instance is not None:
            self._past_instances.append(self.instance)
        self.instance = instance
        self._instance_since_s = now_s
        self._become_cold(now_s)
        return True

    def on_inventory_instance(self, instance: InstanceId, now_s: float) -> None:
        """Handles an instance id of unknown age from an inventory.

        If it differs from the known id, the target is cold and its instance
        unknown until an attempt or a probe shows which is current.
        """
        if self.instance is None:
            self.on_instance(instance, now_s, now_s)
        elif instance != self.instance:
            self.instance = None
            self._become_cold(now_s)

    def on_answer(self, node: NodeId, now_s: float) -> None:
        """Records that the target answered a node."""
        self._last_answer_s[node] = now_s

    def was_reached_by_others(self, node: NodeId, now_s: float) -> bool:
        """Returns whether the target answered other nodes recently."""
        return any(
            other != node and now_s - at_s < REACHABLE_S
            for other, at_s in self._last_answer_s.items()
        )

    def on_result(
        self,
        outcome: AttemptOutcome,
        latency_s: float,
        issued_s: float,
        now_s: float,
        reached_by_others: bool = False,
    ) -> None:
        """Handles the outcome of an attempt at the current instance.

        Args:
            outcome: Outcome of the attempt.
            latency_s: Time from dispatch to the end of the answer.
            issued_s: Time at which its permit was issued.
            now_s: Time.
            reached_by_others: Whether the target answered other nodes
                recently; then a failed connection may be a fault between one
                node and the target.
        """
        if outcome is AttemptOutcome.CONNECT_FAILED:
            if reached_by_others:
                self.suspect(now_s)
            else:
                self.on_connect_failed(now_s)
        elif outcome is AttemptOutcome.LOST:
            self.suspect(now_s)
        elif outcome is AttemptOutcome.SHED:
            self._decrease(SHED_FACTOR, now_s)
        if outcome is AttemptOutcome.CANCELLED:
            return
        succeeded = outcome is AttemptOutcome.OK
        self.failed_share += RECENT_WEIGHT * (
            (not succeeded) - self.failed_share
        )
        if succeeded or outcome is AttemptOutcome.TIMEOUT:
            self._record_latency(latency_s, now_s)
        if succeeded:
            self._record_success(issued_s, now_s)

    def on_condition(self, condition: TargetCondition, now_s: float) -> None:
        """Handles the state that the target reports; never makes it warm."""
        if condition is TargetCondition.DRAINING:
            self.trust = Trust.DRAINING
        elif condition is TargetCondition.COLD and self.trust in (
            Trust.WARM,
            Trust.SUSPECT,
        ):
            self._become_cold(now_s)

    def on_health(self, health: Health, sent_s: float, now_s: float) -> None:
        """Handles the answer to a health probe sent at ``sent_s``."""
        if not self.on_instance(health.instance, sent_s, now_s):
            return
        if sent_s > self._health_probe_s:
            # Answers to probes may arrive out of order.
            self._health_probe_s = sent_s
            if health.uptime_s is not None:
                if health.uptime_s < self._uptime_s:
                    self._become_cold(now_s)
                self._uptime_s = health.uptime_s
        if self.trust is Trust.DOWN or (
            self.trust is Trust.DRAINING
            and health.condition is TargetCondition.READY
        ):
            self._become_cold(now_s)
        if health.condition is not None:
            self.on_condition(health.condition, now_s)

    def on_load(self, health: Health, outstanding: int, now_s: float) -> None:
        """Handles a load report, which can only lower the limit for a while.

        Args:
            health: The report.
            outstanding: Requests that the home counts; any further ones at
                the target come from elsewhere.
            now_s: Time.
        """
        slots = self.published.slots
        self._reported_slots = min(slots, max(1, health.slots or slots))
        self._external_requests = max(0, (health.busy or 0) - outstanding)
        self._load_report_until_s = now_s + LOAD_REPORT_S

    def limit_to_trials(self) -> None:
        """Limits a target that fails while others do not to trial requests."""
        self.trials_only = True
        self._limit = 1.0

    def is_failing(self) -> bool:
        """Returns whether most of the recent attempts failed."""
        return self.failed_share > FAILING_SHARE

    def _ramp_limit(self, now_s: float) -> int:
        slots, initial_limit = self.published.slots, self.initial_limit
        fraction = 1.0
        if self._ramp_s > 0:
            fraction = min(1.0, (now_s - self._ramp_start_s) / self._ramp_s)
        time_limit = math.floor(
            initial_limit + (slots - initial_limit) * max(0.0, fraction)
        )
        # Time alone does not show that the target can take more load, so each
        # further request needs a success.
        return min(slots, time_limit, initial_limit + self._successes)

    def _become_cold(self, now_s: float) -> None:
        self.trust = Trust.COLD
        self._ramp_start_s = now_s
        self._least_ramp_s = 0.0
        self._successes = 0
        self._uptime_s = 0.0
        self._limit = float(self.ceiling)
        self._latency_samples = 0
        self.failed_share = 0.0
        self.trials_only = False

    def _record_success(self, issued_s: float, now_s: float) -> None:
        if self.trust is Trust.DOWN:
            # The target may have restarted since the connection failed. A
            # success counts only if its permit was issued after that.
            if issued_s > self._suspected_s:
                self._become_cold(now_s)
            return
        if self.trust is Trust.SUSPECT and issued_s > self._suspected_s:
            self.trust = Trust.WARM
        self._limit = min(self.ceiling, self._limit + 1.0 / self._limit)
        if self.trust is Trust.COLD:
            self._successes += 1
            ramp_ended = now_s - self._ramp_start_s >= self._ramp_s
            if ramp_ended and self._successes >= self.published.slots:
                self.trust = Trust.WARM

    def _record_latency(self, latency_s: float, now_s: float) -> None:
        self._latency_samples += 1
        weight = max(RECENT_WEIGHT, 1.0 / self._latency_samples)
        self._recent_latency_s += weight * (latency_s - self._recent_latency_s)
        weight = max(LONG_TERM_WEIGHT, 1.0 / self._latency_samples)
        self._long_term_latency_s += weight * (
            latency_s - self._long_term_latency_s
        )
        has_jumped = (
            self._recent_latency_s
            > LATENCY_JUMP_RATIO * self._long_term_latency_s
        )
        if self._latency_samples > MIN_LATENCY_SAMPLES and has_jumped:
            self._decrease(LATENCY_JUMP_FACTOR, now_s)

    def _decrease(self, factor: float, now_s: float) -> None:
        if now_s - self._last_decrease_s >= DECREASE_INTERVAL_S:
            self._last_decrease_s = now_s
            self._limit = max(1.0, self._limit * factor)
