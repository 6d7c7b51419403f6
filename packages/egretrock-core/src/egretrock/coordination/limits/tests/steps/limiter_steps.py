import msgspec
from behave import given, then, when

from egretrock.coordination.base import Peer
from egretrock.coordination.limits import (
    ORGANISATION_HOME_KIND,
    Ask,
    AskEntry,
    Grant,
    GrantEntry,
    Lease,
    TokenEntry,
)
from egretrock.coordination.limits._pool import (
    HeldLease,
    PoolLimits,
    SharePool,
)
from egretrock.state.config import Organisation
from egretrock_standins.limits_experiment import LimiterFleet

ACME = "acme"
LIMITS = Organisation(rate_per_s=100.0, burst=50.0)
POOL_LIMITS = PoolLimits(rate_per_s=10.0, burst=10.0, share=1.0)
LENDER = Peer("127.0.0.9:7000", 9)


@given("a pool of 10 tokens at 10 a second")
def step_pool(context):
    context.pool = SharePool(own_share_from_s=0.0, now_s=0.0)
    context.pool.advance(POOL_LIMITS, 0.0)
    context.pool.advance(POOL_LIMITS, 1.0)


@given("a pool of 10 tokens at 10 a second, emptied")
def step_pool_emptied(context):
    step_pool(context)
    context.pool.level = 0.0


@when("10 tokens are granted for 0.3 seconds")
def step_grant_all(context):
    context.pool.grant(LENDER, 10.0, 1.3)


@when("the pool is next advanced 0.3 seconds later")
def step_advance(context):
    context.pool.advance(POOL_LIMITS, 1.3)


@when("the same lease of 2 tokens arrives twice")
def step_lease_twice(context):
    for _ in range(2):
        context.pool.accept(LENDER, HeldLease(1, 0.5, 2.0), 2.0)


@then("its level is {level:g}")
def step_level(context, level):
    assert abs(context.pool.level - level) < 1e-6, context.pool.level


def make_world(context, count=18, organisations=None, **fields):
    limits = organisations or {ACME: LIMITS}
    context.world = LimiterFleet(1, count, limits, **fields)
    view = context.world.view(context.world.nodes[0])
    context.home = view.preferred_home(ORGANISATION_HOME_KIND, ACME, 0.0)
    context.other_nodes = [n for n in context.world.nodes if n != context.home]
    context.sender = Peer((context.other_nodes or context.world.nodes)[-1], 77)


@given("a node that asked its home for tokens")
def step_asked(context):
    make_world(context)
    context.limiter = context.world.limiters[context.other_nodes[0]]
    assert context.limiter.admit(ACME, 0.0).is_error()
    (message,) = context.limiter.request_tokens(ACME, 0.0)
    assert message.to == context.home
    context.ask = message.body


def deliver_grant(context, tokens, incarnation):
    entries = [GrantEntry(ACME, tokens, True, 0.3)]
    body = Grant(context.ask.number, incarnation, entries)
    context.limiter.on_message(Peer(context.home, 1), body, 0.003)


@when("the same grant of 3 tokens arrives twice")
def step_grant_twice(context):
    for _ in range(2):
        deliver_grant(context, 3, context.limiter.peer.incarnation)


@when("a grant of 3 tokens for its previous process arrives")
def step_grant_for_previous_process(context):
    deliver_grant(context, 3, context.limiter.peer.incarnation + 1)


@then("the node admits {count:d} of {total:d} requests")
def step_admits(context, count, total):
    results = [context.limiter.admit(ACME, 0.004) for _ in range(total)]
    assert sum(result.is_ok() for result in results) == count


@given("a home with a full pool")
def step_home(context):
    make_world(context)
    context.world.run(2.0)
    context.limiter = context.world.limiters[context.home]
    context.answers = []


def deliver(context, sender, body, now_s=2.0):
    messages = context.limiter.on_message(sender, body, now_s)
    context.answers += [m.body for m in messages if isinstance(m.body, Grant)]


@when("the same ask arrives twice")
def step_ask_twice(context):
    for _ in range(2):
        deliver(context, context.sender, Ask(5, [AskEntry(ACME, 2, 1.0, 0)]))


@when("an ask from a node that is not in the VM list arrives")
def step_ask_unlisted(context):
    sender = Peer("127.0.0.99:7000", 1)
    deliver(context, sender, Ask(5, [AskEntry(ACME, 2, 1.0, 0)]))


@then("the home answers once")
def step_answers_once(context):
    granted = [
        (e.tokens, e.extended) for a in context.answers for e in a.entries
    ]
    assert granted == [(2, True)], granted


@then("the home answers nothing")
def step_answers_nothing(context):
    assert context.answers == []


@when("a lease for its previous process arrives")
def step_lease_for_previous_process(context):
    deliver(context, context.sender, Ask(5, [AskEntry(ACME, 2, 1.0, 0)]))
    previous_incarnation = context.limiter.peer.incarnation + 1
    entries = [TokenEntry(ACME, 1.0)]
    deliver(
        context,
        context.sender,
        Lease(1, previous_incarnation, 1, 0.05, 1.0, entries),
    )


@then("the home holds no lease")
def step_no_lease(context):
    assert context.limiter.leased_share(ACME) == 0


@given(
    "{count:d} nodes and an offered rate of {per_s:d} a second at {at:d} nodes"
)
def step_offered(context, count, per_s, at):
    make_world(context, count)
    callers = (context.other_nodes or context.world.nodes)[:at]
    context.world.schedule_poisson_requests(ACME, callers, per_s, 0.0, 14.0)


@when("a node with callers restarts at 6 seconds")
def step_restart(context):
    world, node = context.world, context.other_nodes[0]
    world.run(6.0)
    world.kill(node)
    world.start(node)
    limiter = world.limiters[node]
    context.ready, context.granted, context.minted = [], 0, 0.0
    while world.network.now_s < 8.9:
        now_s = world.network.now_s
        context.ready.append(limiter.is_ready(now_s))
        context.granted += limiter.admit(ACME, now_s).is_ok()
        world.network.send(node, limiter.request_tokens(ACME, now_s))
        context.minted = max(context.minted, limiter.bucket_level(ACME))
        world.run(now_s + 0.1)


@then("it is not ready and mints no tokens for 3 seconds")
def step_not_ready(context):
    assert not any(context.ready)
    assert context.minted == 0, context.minted


@then("it admits requests with granted tokens in that time")
def step_granted(context):
    assert context.granted >= 20, context.granted


@given("{count:d} nodes and 50 organisations without requests")
def step_idle(context, count):
    names = [f"organisation-with-a-long-name-{n}" for n in range(50)]
    make_world(context, count, organisations=dict.fromkeys(names, LIMITS))
    context.names, context.sizes = names, []
    send = context.world.network.send

    def record(sender, messages):
        encode = msgspec.json.encode
        context.sizes += [len(encode(m.body)) for m in messages]
        send(sender, messages)

    context.world.network.send = record


@when("{duration_s:d} seconds pass")
def step_pass(context, duration_s):
    context.world.run(duration_s)


@then("no message was sent")
def step_no_message(context):
    assert context.world.network.sent_count == 0


@when("every organisation has a burst of requests")
def step_all_busy(context):
    for name in context.names:
        for index in range(20):
            node = context.world.nodes[index % 3]
            context.world.network.call_at(
                1.0, context.world.send_request, name, node
            )
    context.world.run(3.0)


@then("every message has at most {bound:d} bytes")
def step_sizes(context, bound):
    assert max(context.sizes) <= bound, max(context.sizes)
    assert max(context.sizes) > 500


@given("18 nodes and twice the rate offered, 9 in 10 requests at the home")
def step_unequal_callers(context):
    make_world(context)
    world = context.world
    world.schedule_poisson_requests(ACME, [context.home], 180.0, 0.0, 14.0)
    world.schedule_poisson_requests(
        ACME, context.other_nodes[:2], 20.0, 0.0, 14.0
    )


@then("the share of requests admitted at other nodes is at least half as large")
def step_served(context):
    def admitted_share(at_home):
        group = [
            r
            for r in context.world.requests
            if (r.node == context.home) == at_home and r.at_s > 3.0
        ]
        return sum(r.admitted_s is not None for r in group) / len(group)

    assert admitted_share(False) >= admitted_share(True) / 2, (
        admitted_share(False),
        admitted_share(True),
    )


@then("less than {percent:g}% of the requests are refused")
def step_few_refused(context, percent):
    counted = [r for r in context.world.requests if 4.0 < r.at_s < 13.0]
    refused = sum(r.admitted_s is None for r in counted)
    assert refused <= len(counted) * percent / 100, (refused, len(counted))


@when("the organisation is removed and 10 more seconds pass")
def step_removed(context):
    world = context.world
    world.platform.publish(world.network.now_s, organisations={})
    world.run(world.network.now_s + 10.0)


@then("no node has state for it")
def step_no_state(context):
    for limiter in context.world.limiters.values():
        assert limiter.organisations() == frozenset()
