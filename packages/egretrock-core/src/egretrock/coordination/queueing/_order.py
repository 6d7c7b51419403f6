"""Which request a slot serves, and which one gives way on overflow."""

from egretrock.coordination.queueing._flow import ServiceQueue
from egretrock.coordination.queueing._requests import Prospect, QueueEntry
from egretrock.state.ids import OrganisationId, TargetId

#: Time after which a request that leaves a slow slot to others may get a
#: faster one.
_FASTER_SLOT_WAIT_S = 0.05


def slot_choices(
    queue: ServiceQueue,
    now_s: float,
    slowdown: float,
    target: TargetId | None,
    only_repeatable: bool = False,
) -> dict[OrganisationId, int]:
    """Returns the requests among which the turn of organisations decides.

    Args:
        queue: Queue of the service.
        now_s: Time.
        slowdown: Expected time to completion relative to the usual.
        target: Target of the slot, or None.
        only_repeatable: Whether the slot is only for requests that may run
            more than once.

    Returns:
        For each organisation that has one, the index of its request.
    """
    is_mixed = queue.has_several_priorities
    neglected = (
        queue.rates.neglected(now_s, queue.waiting_by_priority)
        if is_mixed
        else None
    )
    usual = queue.slots.least_slowdown(now_s)
    best: tuple[int, bool, int, bool] | None = None
    choices: dict[OrganisationId, int] = {}
    for organisation in queue.active_organisations:
        backlog = queue.flows[organisation].backlog
        for index, entry in enumerate(backlog):
            item = entry.item
            if target in item.excluded or (
                only_repeatable and not item.is_repeatable
            ):
                continue
            prospect = entry.prospect(now_s, slowdown)
            if prospect is Prospect.TOO_LATE or (
                prospect is Prospect.LATE
                and _waits_for_faster(entry, now_s, slowdown, usual)
            ):
                continue
            order = (
                prospect.value,
                item.priority != neglected,
                item.priority,
                item.is_repeat,
            )
            if best is None or order < best:
                best, choices = order, {organisation: index}
            elif order == best:
                chosen = choices.setdefault(organisation, index)
                if (
                    is_mixed
                    and entry.latest_start_s()
                    < backlog[chosen].latest_start_s()
                ):
                    choices[organisation] = index
            if not (is_mixed or prospect or item.is_repeat):
                # No later request of this organisation goes before it.
                break
    return choices


def _waits_for_faster(
    entry: QueueEntry, now_s: float, slowdown: float, usual: float
) -> bool:
    """Returns whether a request should leave a slow slot to others.

    It may still be in time at a slot as fast as recent ones. It takes the slow
    one at the last moment at which it probably ends there by its deadline.
    """
    later_s = now_s + _FASTER_SLOT_WAIT_S
    end_s = now_s + slowdown * entry.work.typical_s
    is_last_moment = (
        end_s <= entry.item.deadline_s < end_s + _FASTER_SLOT_WAIT_S
    )
    return (
        entry.prospect(later_s, usual) is Prospect.IN_TIME
        and not is_last_moment
    )


def eviction_costs(
    queue: ServiceQueue, now_s: float
) -> dict[OrganisationId, tuple[tuple[float, ...], int]]:
    """Returns the request of each organisation that costs its caller least.

    Returns:
        For each organisation the cost, by which requests of all organisations
        compare, and the index of the request.
    """
    neglected = queue.rates.neglected(now_s, queue.waiting_by_priority)
    costs = {}
    for organisation in queue.active_organisations:
        candidates = []
        for index, entry in enumerate(queue.flows[organisation].backlog):
            item = entry.item
            cost = (
                item.is_repeat,
                -entry.prospect(now_s),
                item.priority == neglected,
                -item.priority,
            )
            candidates.append((cost, -entry.work.typical_s, -index))
        cost, _, negative_index = min(candidates)
        costs[organisation] = (cost, -negative_index)
    return costs
