"""Messages of the rate limiter.

Entries are encoded as arrays to save bytes, because the messages about busy
organisations are the most frequent ones between nodes.
"""

import msgspec

from egretrock.coordination.base import Message
from egretrock.state.ids import Incarnation, OrganisationId


class AskEntry(msgspec.Struct, frozen=True, array_like=True):
    """What a node needs for one organisation.

    Attributes:
        organisation: The organisation.
        wanted_tokens: New tokens; 0 asks only to extend the tokens held.
        demand_per_s: Requests a second that the node expects.
        held: Unspent tokens that the node holds from the receiver's grants.
    """

    organisation: OrganisationId
    wanted_tokens: int
    demand_per_s: float
    held: float


class Ask(Message, frozen=True, tag="limits.ask"):
    """Asks a home for tokens.

    The sender no longer accepts a grant for an earlier ask, so ``held`` is
    all that it may still spend of the receiver's grants.
    """

    number: int
    entries: list[AskEntry]


class TokenEntry(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one organisation that move with a leased share."""

    organisation: OrganisationId
    tokens: float


class GrantEntry(msgspec.Struct, frozen=True, array_like=True):
    """Tokens granted for one organisation.

    Attributes:
        organisation: The organisation.
        tokens: New tokens.
        extended: Whether the tokens that the asker already holds now last as
            long as the new ones.
        life_s: Lifetime of the tokens in seconds, from the sending of the
            ask.
    """

    organisation: OrganisationId
    tokens: int
    extended: bool
    life_s: float


class Grant(Message, frozen=True, tag="limits.grant"):
    """Answers an ask; the tokens expire ``life_s`` after it was sent."""

    number: int
    asker_incarnation: Incarnation
    entries: list[GrantEntry]


class Busy(Message, frozen=True, tag="limits.busy"):
    """Asks every node to lease its shares of busy organisations."""

    number: int
    organisations: list[OrganisationId]


class Lease(Message, frozen=True, tag="limits.lease"):
    """Answers ``limits.busy``: the receiver may use the sender's shares.

    The receiver refills its buckets at the rate of these shares too.

    Attributes:
        busy_number: Number of the ``limits.busy`` answered.
        home_incarnation: Process that sent the ``limits.busy``.
        number: Number of the lease; it increases within the sender's
            process.
        share: Fraction of the rate and burst of each organisation.
        duration_s: Lifetime of the lease in seconds, from the sending of the
            ``limits.busy``.
        entries: Organisations, each with the tokens that move with the
            share.
    """

    busy_number: int
    home_incarnation: Incarnation
    number: int
    share: float
    duration_s: float
    entries: list[TokenEntry]


class Release(Message, frozen=True, tag="limits.release"):
    """Returns leased shares to their owners before the leases end.

    The sender ignores every lease that answers a ``limits.busy`` up to
    ``busy_number``.

    Attributes:
        busy_number: Number of the last ``limits.busy`` that is void.
        hold_s: Seconds until the last grant that may use the shares ends.
        organisations: Organisations whose shares are returned.
        stopping: Whether the sender is stopping and no longer a home.
    """

    busy_number: int
    hold_s: float
    organisations: list[OrganisationId]
    stopping: bool
