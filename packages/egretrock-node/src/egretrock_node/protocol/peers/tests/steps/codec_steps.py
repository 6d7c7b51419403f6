import msgspec
from behave import then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from egretrock.coordination.base import Peer
from egretrock.coordination.fleet import Heartbeat, Release
from egretrock_node.protocol.peers import (
    MAX_DATAGRAM_BYTES,
    BadDatagramError,
    Codec,
    OversizeError,
    UnknownVersionError,
)

SENDER = Peer("127.0.0.1:7000", 2**64 - 1)
CODEC = Codec(SENDER, [Heartbeat, Release])
HEARTBEAT = Heartbeat(5, 4, 3, 2, votes="abc")
BODIES = st.one_of(
    st.builds(Heartbeat, st.integers(1, 2**40), flags=st.integers(0, 31)),
    st.builds(Release, st.integers(1, 2**40), st.text(max_size=300)),
)


def for_all(strategy, check, count):
    limits = settings(
        derandomize=True, database=None, max_examples=count, deadline=None
    )
    limits(given_examples(strategy)(check))()


@when("{count:d} damaged or random datagrams are decoded")
def step_damaged(context, count):
    data = bytearray(next(CODEC.encode([HEARTBEAT])))
    positions = st.integers(0, len(data) - 1)
    changes = st.lists(st.tuples(positions, st.integers(0, 255)), min_size=1)

    def check(changes, random_bytes):
        changed = bytearray(data)
        for position, value in changes:
            changed[position] = value
        for datagram in (
            bytes(changed),
            bytes(changed[: len(random_bytes)]),
            random_bytes,
        ):
            try:
                received = CODEC.decode(datagram)
            except (BadDatagramError, UnknownVersionError):
                continue
            assert isinstance(received.bodies, list)

    for_all(
        st.tuples(changes, st.binary(max_size=2000)),
        lambda case: check(*case),
        count,
    )


@then("each is a message list, a refused version or a bad datagram")
def step_no_other(context):
    """Any other exception would have failed the previous step."""


@when("{count:d} lists of messages are packed and unpacked")
def step_round_trip(context, count):
    def check(bodies):
        datagrams = list(CODEC.encode(bodies))
        read = [CODEC.decode(datagram) for datagram in datagrams]
        assert [b for r in read for b in r.bodies] == bodies
        assert all(r.sender == SENDER for r in read)
        context.largest = max([context.largest, *map(len, datagrams)])

    context.largest = 0
    for_all(st.lists(BODIES, max_size=40), check, count)


@then("the messages are the same, and no datagram is above {size:d} bytes")
def step_sizes(context, size):
    assert size / 2 < context.largest <= size == MAX_DATAGRAM_BYTES


def envelope(version, msgs):
    value = {"v": version, "from": SENDER.node, "inc": 1, "new": 1}
    return msgspec.json.encode(value | {"msgs": msgs})


@when("a datagram has an unknown field, an unknown tag and a known message")
def step_minor(context):
    later = {"t": "fleet.later"}
    known = {"t": "fleet.heartbeat", "q": 5, "later": [1]}
    context.received = CODEC.decode(envelope([1, 7], [later, known]))


@then("the known message is read and {count:d} message is unknown")
def step_known(context, count):
    assert context.received.bodies == [Heartbeat(5)]
    assert context.received.unknown_count == count


@when("a datagram of major version {major:d} is decoded")
def step_major(context, major):
    try:
        CODEC.decode(envelope([major, 0], []))
    except UnknownVersionError as error:
        context.error = error


@then("the version {major:d} is refused")
def step_refused(context, major):
    assert context.error.major == major


@when("a message of {size:d} bytes is packed")
def step_large(context, size):
    try:
        list(CODEC.encode([Release(1, "a" * size)]))
    except OversizeError as error:
        context.error = error


@then("it is refused as too large")
def step_too_large(context):
    assert context.error.message_type is Release
