"""Settings of the fleet's evidence."""

import msgspec


class EvidenceSettings(msgspec.Struct, frozen=True):
    """How failures are counted, reported and judged.

    Attributes:
        enabled: Whether evidence is collected and used.
        half_life_s: Half-life of all counts.
        news_interval_s: Time between two reports of one service if the node
            has seen a failure since the first.
        trouble_interval_s: Time between two reports while the home lists
            targets, or requests wait for the service.
        calm_interval_s: Time between two reports otherwise.
        table_valid_s: Time for which a table of the home is used, counted
            from the report that it answers.
        room_valid_s: The same for the sum of the rooms; above
            ``trouble_interval_s``, and so short that no request is refused
            for an overload that has ended.
        report_memory_s: Time for which the home keeps a report.
        judge_interval_s: Shortest time between two judgements of a service.
        push_interval_s: Shortest time between two tables that a node is sent
            without a report.
        settle_s: Time for which a new home only collects reports.
        confirm_s: Time for which a target is listed before it can be taken
            out, so that nodes without failures report their attempts too.
        prior_attempts: Attempts without failure that are added to those
            counted, so that few attempts give no high rate.
        list_failures: Failures from which a target is listed.
        unlist_failures: Failures below which it is not listed any more.
        list_rate: Failure rate from which a target is listed.
        out_failures: Failures from which a target may be taken out.
        out_rate: Failure rate from which a target may be taken out.
        out_ratio: Multiple of the failure rate of the other targets from
            which a target may be taken out.
        out_deviations: Standard deviations by which the failures must exceed
            those expected at the failure rate of the other targets.
        back_rate: Failure rate below which a target comes back.
        trouble_rate: Failure rate of the whole service from which no target
            is taken out.
        max_out_share: Largest share of the slots of a service that may be
            out at once.
        tries_per_s: Requests per second that all nodes together may send to
            a target that is out.
        max_tries: Most tries in one answer, so that the tries of many targets
            go to nodes that have requests for them.
        try_valid_s: Time for which a granted try may be used, counted from
            the report by which it was asked for.
        shed_weight: Part of a failure that a shed request counts as.
        assumed_nodes: Fleet size that a recently started home assumes while
            it does not reach half of its seeds.
    """

    enabled: bool = True
    half_life_s: float = 3.0
    news_interval_s: float = 0.5
    trouble_interval_s: float = 1.0
    calm_interval_s: float = 8.0
    table_valid_s: float = 3.0
    room_valid_s: float = 2.5
    report_memory_s: float = 12.0
    judge_interval_s: float = 0.25
    push_interval_s: float = 1.0
    settle_s: float = 1.0
    confirm_s: float = 2.2
    prior_attempts: float = 2.0
    list_failures: float = 1.2
    unlist_failures: float = 0.6
    list_rate: float = 0.08
    out_failures: float = 1.9
    out_rate: float = 0.15
    out_ratio: float = 2.5
    out_deviations: float = 2.3
    back_rate: float = 0.1
    trouble_rate: float = 0.3
    max_out_share: float = 1 / 3
    tries_per_s: float = 1.0
    max_tries: int = 2
    try_valid_s: float = 1.5
    shed_weight: float = 0.5
    assumed_nodes: int = 10
