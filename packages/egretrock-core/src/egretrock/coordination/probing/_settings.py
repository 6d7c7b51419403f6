"""Settings of the choice of a target."""

import msgspec


class ChoiceSettings(msgspec.Struct, frozen=True):
    """Settings of the choice of a target.

    Attributes:
        near_probe_count: Targets of the node's own data centre that are probed
            first.
        far_probe_count: Targets probed in the second step, from all data
            centres, if no near target is good enough.
        min_probe_count: Minimum number of targets to probe when the probe
            budget runs short.
        good_cost: Cost up to which a target is chosen without probing or
            waiting further. The unit is the usual service time; an idle
            target with 2 slots at its usual service time costs 1.09.
        probe_timeout_s: Seconds after which a probe counts as unanswered.
        more_answers_wait_s: Seconds that a round waits for more answers after
            the first.
        first_answer_wait_s: Seconds that a round waits for a first answer.
        retry_s: Seconds before the next round if no target had room.
        permit_s: Seconds for which a permit is valid after the choice.
        max_reading_age_s: Age up to which the last reading of a target affects
            the order of probing.
        max_rounds: Maximum number of concurrent rounds of one service.
        max_waiting_ratio: Maximum number of queued requests at a target, per
            slot.
        probes_per_target_s: Probes per second of one target by the whole
            fleet. Beyond that rate a node chooses by its last readings.
        unprobed_choices: Number of targets compared in that case; with more,
            all nodes would choose the same one.
        moment_s: Time in which the service time of a target may change. A
            request that a slow target would make late needs a reading that
            is no older.
        max_hold_s: Seconds for which a request is held back from targets that
            would answer it late, while a good one could answer in time.
        reading_error: Relative error of the cost of a target; of targets that
            differ by less, one with an open connection is chosen.
        unread_s: Age of the last reading from which a near target is probed
            as early as one with an open connection; below the idle time after
            which connections are closed.
    """

    near_probe_count: int = 4
    far_probe_count: int = 5
    min_probe_count: int = 2
    good_cost: float = 1.3
    probe_timeout_s: float = 0.25
    more_answers_wait_s: float = 0.012
    first_answer_wait_s: float = 0.06
    retry_s: float = 0.015
    permit_s: float = 0.5
    max_reading_age_s: float = 0.1
    max_rounds: int = 8
    max_waiting_ratio: float = 1.0
    probes_per_target_s: float = 40.0
    unprobed_choices: int = 3
    moment_s: float = 0.15
    max_hold_s: float = 0.1
    reading_error: float = 0.1
    unread_s: float = 6.0
