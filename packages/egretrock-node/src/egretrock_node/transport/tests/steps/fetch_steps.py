import time

from behave import given, then, when
from twisted.internet import reactor

from egretrock_node.tests.endless import ANSWERS, EndlessServer
from egretrock_node.tests.path_world import (
    in_reactor,
    start_reactor,
    wait_until,
)
from egretrock_node.transport._http_fetch import (
    HttpFetcher,
    HttpFetchError,
    parse_revision,
)

FETCH_TIMEOUT_S = 3.0


@given("a server that sends {name} without end")
def step_server(context, name):
    start_reactor()
    context.server = EndlessServer(*ANSWERS[name], 2 * FETCH_TIMEOUT_S)
    context.add_cleanup(context.server.close)


@when("a resource of it is fetched")
def step_fetch(context):
    context.results = []

    def fetch():
        fetcher = HttpFetcher(reactor, time.monotonic)
        pending = fetcher.get(context.server.address, "/a", FETCH_TIMEOUT_S)
        pending.addBoth(context.results.append)

    in_reactor(fetch)
    wait_until(lambda: context.results, 2 * FETCH_TIMEOUT_S)


@then("the fetch fails before {limit:d} bytes were sent")
def step_failed(context, limit):
    (failure,) = context.results
    assert failure.check(HttpFetchError), failure
    time.sleep(0.1)
    assert context.server.sent_bytes < limit, context.server.sent_bytes


@then("the revision {text} is refused")
def step_revision(context, text):
    if text.startswith("of "):
        text = "9" * int(text.split()[1])
    assert parse_revision(text) is None
    assert parse_revision("9" * 18) == 10**18 - 1
