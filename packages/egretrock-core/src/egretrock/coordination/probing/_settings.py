"""Bounds of the choice of a target."""

import msgspec


class ChoiceSettings(msgspec.Struct, frozen=True):
    """Bounds of the choice.

    Attributes:
        near: Targets of the own data centre asked first.
        far: Targets of other data centres asked where none of the near ones
            is idle.
        least: Targets asked at a time when the budget of probes runs short.
        good_cost: Cost up to which a target is taken without asking or
            waiting further; 1 is an idle target at its usual pace.
        probe_timeout_s: Seconds after which a probe counts as unanswered.
        wait_s: Seconds that a round waits for answers once one is here.
        longest_wait_s: Seconds that a round waits where none is here.
        retry_s: Seconds between two rounds while no target has room.
        permit_s: Seconds for which a reading may be acted on.
        recent_s: Age up to which the last reading of a target counts for
            which targets are asked.
        max_rounds: Rounds of one service at the same time.
        max_waiting_ratio: Requests that may wait at a target, per slot.
        probes_per_target_s: Probes a second of one target by the whole
            fleet. Beyond them a node chooses by its last readings.
        unprobed_choices: Targets compared in that case; more would send all
            nodes to the same one.
    """

    near: int = 4
    far: int = 5
    least: int = 2
    good_cost: float = 1.3
    probe_timeout_s: float = 0.25
    wait_s: float = 0.012
    longest_wait_s: float = 0.06
    retry_s: float = 0.015
    permit_s: float = 0.5
    recent_s: float = 0.1
    max_rounds: int = 8
    max_waiting_ratio: float = 1.0
    probes_per_target_s: float = 40.0
    unprobed_choices: int = 3
