"""Which members read the store for the fleet."""

from collections.abc import Sequence

from egretrock.coordination.base import placement_weight
from egretrock.coordination.gossip import MemberRecord
from egretrock.state.ids import NodeId


def choose_readers(members: Sequence[MemberRecord], count: int) -> list[NodeId]:
    """Returns the readers in order.

    They stand in different data centres where that is possible, and members
    whose reads fail come last.

    Args:
        members: Members alive.
        count: Readers wanted.
    """
    ranked = sorted(
        members,
        key=lambda record: (
            not record.reads_store,
            placement_weight("reader", record.node),
            record.node,
        ),
    )
    chosen: list[MemberRecord] = []
    for is_spread in (True, False):
        for record in ranked:
            if len(chosen) >= count:
                break
            taken = {r.data_centre for r in chosen}
            if record in chosen:
                continue
            if is_spread and record.data_centre in taken:
                continue
            if is_spread and not record.reads_store and chosen:
                continue
            chosen.append(record)
    return [record.node for record in chosen]
