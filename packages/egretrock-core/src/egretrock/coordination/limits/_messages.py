"""Messages of the rate limiter.

Entries are arrays on the wire, because the messages of a busy organisation
are the most frequent ones between nodes.
"""

import msgspec

from egretrock.coordination.base import Message
from egretrock.state.ids import Incarnation, OrganisationId


class AskEntry(msgspec.Struct, frozen=True, array_like=True):
    """What a node needs for one organisation.

    Attributes:
        organisation: The organisation.
        want: Tokens wanted; 0 asks only to extend what is held.
        demand_per_s: Requests a second that the node expects.
        held: Unspent tokens that it holds from grants of the receiver.
    """

    organisation: OrganisationId
    want: int
    demand_per_s: float
    held: float


class Ask(Message, frozen=True, tag="limits.ask"):
    """Asks a home for tokens.

    The sender accepts no grant for an earlier ask any more, so ``held`` is
    all that it may still spend of the receiver's grants.
    """

    number: int
    entries: list[AskEntry]


class TokenEntry(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one organisation."""

    organisation: OrganisationId
    tokens: float


class GrantEntry(msgspec.Struct, frozen=True, array_like=True):
    """Tokens granted for one organisation.

    Attributes:
        organisation: The organisation.
        tokens: New tokens.
        extended: Whether the tokens that the asker holds live on as long as
            new ones.
        life_s: Life of the tokens in seconds, from the send of the ask.
    """

    organisation: OrganisationId
    tokens: int
    extended: bool
    life_s: float


class Grant(Message, frozen=True, tag="limits.grant"):
    """Answers an ask; the tokens expire ``life_s`` after its send."""

    number: int
    asker_incarnation: Incarnation
    entries: list[GrantEntry]


class Busy(Message, frozen=True, tag="limits.busy"):
    """Asks for leases on the shares of organisations that are busy."""

    number: int
    organisations: list[OrganisationId]


class Lease(Message, frozen=True, tag="limits.lease"):
    """Answers ``limits.busy`` with the minting right on the sender's shares.

    Attributes:
        busy_number: Number of the message answered.
        home_incarnation: Process that sent that message.
        number: Number of the lease, rising within the sender's process.
        share: Fraction of the rate and burst of each organisation.
        duration_s: Life of the lease, from the send of the ``limits.busy``.
        entries: Organisations, with the tokens that move with the share.
    """

    busy_number: int
    home_incarnation: Incarnation
    number: int
    share: float
    duration_s: float
    entries: list[TokenEntry]


class Release(Message, frozen=True, tag="limits.release"):
    """Returns leased shares before their leases end.

    The sender ignores every lease that answers a ``limits.busy`` up to
    ``busy_number``.

    Attributes:
        busy_number: Number of the last ``limits.busy`` that is void.
        hold_s: Seconds until the last grant behind the shares ends.
        organisations: Organisations whose shares return.
        stopping: Whether the sender is ending and no longer a home.
    """

    busy_number: int
    hold_s: float
    organisations: list[OrganisationId]
    stopping: bool
