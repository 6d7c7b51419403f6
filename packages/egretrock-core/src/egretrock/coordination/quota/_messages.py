"""Messages between a node and the home of an organisation's rate."""

from egretrock.coordination.base import Message
from egretrock.state.ids import OrganisationId


class TokenAsk(Message, frozen=True, tag="quota.ask"):
    """Asks the home for tokens.

    Attributes:
        organisation: Organisation.
        number: Number that the answer repeats.
        count: Tokens wanted.
    """

    organisation: OrganisationId
    number: int
    count: int


class TokenAnswer(Message, frozen=True, omit_defaults=True, tag="quota.answer"):
    """Tokens that the home has deducted from its bucket.

    Attributes:
        organisation: Organisation.
        number: Number of the ask.
        count: Tokens given; 0 where there are none.
        wait_ms: Milliseconds until the home expects to have one.
        is_home: Whether the sender takes itself for the home.
    """

    organisation: OrganisationId
    number: int
    count: int
    wait_ms: int
    is_home: bool = True


class TokenHandOver(Message, frozen=True, tag="quota.hand_over"):
    """Moves the tokens of a home to the one that takes its place.

    Attributes:
        organisation: Owner of the rate.
        number: Number of the message at its sender; a message that the
            network repeats must not move the tokens twice.
        tokens: Tokens that the sender has given up.
    """

    organisation: OrganisationId
    number: int
    tokens: float


QUOTA_MESSAGES = (TokenAsk, TokenAnswer, TokenHandOver)
