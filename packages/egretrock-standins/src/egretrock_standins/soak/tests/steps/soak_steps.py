import http.client
import http.server
import threading
import time

from behave import given, then, when

from egretrock_standins.soak import (
    Fault,
    FaultKind,
    LoopbackProxy,
    Observations,
    Outcome,
    PlayedFault,
    ProxyMode,
    RequestRecord,
    RunRecord,
    SoakPlan,
    check_run,
    make_plan,
    play_faults,
)

DRAIN_S = 2.0
TIMEOUT_S = 0.5


def request(outcome=Outcome.SERVED, request_id="r1", idempotent=False):
    return RequestRecord(
        request_id, 1, idempotent, "k1", 4.0, 4.5, outcome, 200
    )


def run(request_id="r1", at_s=4.1, target=0, key_seen=False):
    return RunRecord(request_id, target, at_s, key_seen)


def observations(
    requests=(),
    runs=(),
    unready=(),
    exit_codes=(),
    revoked_key_uses=(),
    faults=(),
):
    return Observations(
        faults, requests, runs, unready, exit_codes, revoked_key_uses
    )


def played(kind, index, at_s, end_s):
    return PlayedFault(kind, index, at_s, at_s, end_s, end_s)


def aborted(kind, runs):
    fault = played(kind, 1, 3.9, 4.9)
    return observations([request(Outcome.CUT)], runs, faults=[fault])


def limited(count, from_s=5.0, faults=()):
    """A target that names a limit from 1 s on, and tells it at 1.5 s."""
    told = RequestRecord("r0", 1, True, "k1", 1.1, 1.5, Outcome.SERVED, 200)
    requests = [told] + [
        request(request_id=f"r{n + 1}", idempotent=True) for n in range(count)
    ]
    runs = [run("r0", 1.2)] + [
        run(f"r{n + 1}", from_s + n * 0.1) for n in range(count)
    ]
    fault = played(FaultKind.TARGET_LIMIT, 0, 1.0, 10.0)
    return observations(requests, runs, faults=[fault, *faults])


CASES = {
    "a target gets 24 requests in 4 s at a limit of 3/s": limited(24),
    "a target gets 23 requests in 4 s at a limit of 3/s": limited(23),
    "a target gets 24 requests before its limit binds": limited(24, 1.6),
    "a target gets 24 requests of a restarted gateway": limited(
        24, 5.0, [played(FaultKind.KILL, 1, 2.0, 2.5)]
    ),
    "a caller gets the answer to another request": observations(
        [request(Outcome.MIXED)]
    ),
    "a payout runs twice": observations([request()], [run(), run()]),
    "a payout that ran is refused as not run": observations(
        [request(Outcome.REFUSED)], [run()]
    ),
    "a target runs a request that nobody sent": observations(
        [], [run("other")]
    ),
    "a target sees a key": observations([request()], [run(key_seen=True)]),
    "a draining gateway aborts a request that ran": aborted(
        FaultKind.STOP, [run()]
    ),
    "a target runs a request long after its drain began": observations(
        [request()],
        [run()],
        faults=[played(FaultKind.TARGET_DRAINS, 0, 1.0, 6.0)],
    ),
    "a revoked key still works": observations(revoked_key_uses=["gateway 1"]),
    "a gateway does not serve again": observations(unready=[2]),
    "a drained gateway exits with code 1": observations(exit_codes=[0, 1]),
    "a killed gateway aborts a request that ran": aborted(
        FaultKind.KILL, [run()]
    ),
    "a draining gateway aborts a request before it ran": aborted(
        FaultKind.STOP, []
    ),
    "a read runs twice": observations(
        [request(idempotent=True)], [run(), run()]
    ),
}


@given("a run in which {what}")
def step_case(context, what):
    context.findings = check_run(CASES[what], DRAIN_S)


@then('the finding is "{guarantee}"')
def step_finding(context, guarantee):
    (finding,) = context.findings
    assert finding.guarantee == guarantee, finding
    assert finding.cases


@then("there is no finding")
def step_no_finding(context):
    assert not context.findings, context.findings


@then("each of {count:d} seeds gives the same plan twice, and the plans differ")
def step_plans(context, count):
    plans = [make_plan(seed, 4, 4, 10.0) for seed in range(count)]
    again = [make_plan(seed, 4, 4, 10.0) for seed in range(count)]
    assert plans == again
    assert len({tuple(plan.faults) for plan in plans}) == count


class SlowDeployment:
    """A deployment on a busy machine."""

    def __init__(self, delay_s):
        self._delay_s = delay_s

    def begin(self, fault):
        time.sleep(self._delay_s)

    def end(self, fault):
        pass

    def revoke_key(self):
        pass


@given("a deployment that needs {delay_s:g} seconds to begin a fault")
def step_slow(context, delay_s):
    context.deployment = SlowDeployment(delay_s)


@when("a kill is played that is planned from {at_s:g} to {end_s:g} seconds")
def step_play(context, at_s, end_s):
    fault = Fault(FaultKind.KILL, 0, at_s, end_s - at_s)
    started_s = time.monotonic()
    (context.played,) = play_faults(
        context.deployment,
        SoakPlan(1, [fault], 0.0, end_s),
        lambda: time.monotonic() - started_s,
    )


@then("the kill may abort requests from {at_s:g} to at least {end_s:g} seconds")
def step_played(context, at_s, end_s):
    assert at_s <= context.played.begun_s < end_s, context.played
    assert end_s <= context.played.ended_s, context.played


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        """Writes no access log."""

    def do_GET(self):
        self.server.received += 1
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()


@given("a server behind a proxy, and an open connection")
def step_proxy(context):
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    server.received = 0
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    context.server = server
    address = f"127.0.0.1:{server.server_address[1]}"
    context.proxy = LoopbackProxy("127.0.0.1", address)
    context.add_cleanup(context.proxy.close)
    context.connection = connect(context)
    assert get_status(context.connection) == 200
    server.received = 0


def connect(context):
    host, _, port = context.proxy.address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    context.add_cleanup(connection.close)
    return connection


def get_status(connection):
    connection.request("GET", "/")
    answer = connection.getresponse()
    answer.read()
    return answer.status


@when("the proxy is set to {mode}")
def step_proxy_mode(context, mode):
    context.proxy.set_mode(ProxyMode[mode])


@then("a request on the connection is answered")
def step_answered(context):
    assert get_status(context.connection) == 200


@then("a request on the connection is answered after at least {delay_s:g} s")
def step_delayed(context, delay_s):
    sent_s = time.monotonic()
    assert get_status(context.connection) == 200
    assert time.monotonic() - sent_s >= delay_s


def expect_silence(context):
    try:
        get_status(context.connection)
    except TimeoutError:
        return
    raise AssertionError("the request was answered")


@then("a request on the connection is not answered")
def step_silent(context):
    expect_silence(context)
    assert context.server.received == 0


@then("a request on the connection is received but not answered")
def step_one_way(context):
    expect_silence(context)
    assert context.server.received == 1


@then("a request on the connection fails")
def step_fails(context):
    try:
        get_status(context.connection)
    except (OSError, http.client.HTTPException):
        return
    raise AssertionError("the request was answered")


@then("a request on a new connection is answered")
def step_new(context):
    assert get_status(connect(context)) == 200
