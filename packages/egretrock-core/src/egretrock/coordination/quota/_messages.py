"""Messages between a node and the home of an organisation's rate."""

from egretrock.coordination.base import Message
from egretrock.state.ids import OrganisationId


class TokenAsk(Message, frozen=True, tag="quota.ask"):
    """Request for tokens from the home.

    Attributes:
        organisation: Organisation.
        number: Identifies the ask; the answer repeats it.
        count: Tokens requested.
    """

    organisation: OrganisationId
    number: int
    count: int


class TokenAnswer(Message, frozen=True, omit_defaults=True, tag="quota.answer"):
    """Tokens that the home has deducted from its bucket.

    Attributes:
        organisation: Organisation.
        number: Number of the ask.
        count: Tokens granted; 0 if the bucket is empty.
        wait_ms: Milliseconds until the home expects to have a token.
        is_home: Whether the sender considers itself the home.
    """

    organisation: OrganisationId
    number: int
    count: int
    wait_ms: int
    is_home: bool = True


class TokenHandover(Message, frozen=True, tag="quota.hand_over"):
    """Transfer of the tokens of a home to its successor.

    Attributes:
        organisation: Owner of the rate.
        number: Sequence number at the sender, so that a datagram that the
            network duplicates does not add the tokens twice.
        tokens: Tokens that the sender has removed from its own bucket.
    """

    organisation: OrganisationId
    number: int
    tokens: float


QUOTA_MESSAGES = (TokenAsk, TokenAnswer, TokenHandover)
