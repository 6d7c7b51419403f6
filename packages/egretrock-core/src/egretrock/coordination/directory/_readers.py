"""Choice of the members that read from the platform for the fleet."""

from collections.abc import Sequence

from egretrock.coordination.base import placement_weight
from egretrock.coordination.gossip import MemberRecord
from egretrock.state.ids import NodeId


def choose_readers(members: Sequence[MemberRecord], count: int) -> list[NodeId]:
    """Returns the readers in order of preference.

    They are in different data centres if possible, and members whose reads
    fail come last.

    Args:
        members: Alive members.
        count: Number of readers to choose.
    """
    ranked = sorted(
        members,
        key=lambda record: (
            not record.platform_reachable,
            placement_weight("reader", record.node),
            record.node,
        ),
    )
    chosen: list[MemberRecord] = []
    for is_spread_pass in (True, False):
        for record in ranked:
            if len(chosen) >= count:
                break
            used_data_centres = {r.data_centre for r in chosen}
            if record in chosen:
                continue
            if is_spread_pass and record.data_centre in used_data_centres:
                continue
            if is_spread_pass and not record.platform_reachable and chosen:
                continue
            chosen.append(record)
    return [record.node for record in chosen]
