import contextlib
import pathlib
import subprocess
import sys
import tempfile
from unittest import mock

import yaml
from behave import given, then, when

from egretrock.coordination.fleet import FLEET_MESSAGES
from egretrock.state.outcome import RunState
from egretrock_node.daemon import DrainController
from egretrock_node.lifecycle import MessageRouter
from egretrock_node.protocol.requests import RequestSnapshot, Stage
from egretrock_node.settings import DrainSettings

TICK_S = 0.05


class FakeDrainPort:
    def __init__(self, in_flight):
        self.in_flight = in_flight
        self.events = []

    def stop_accepting(self):
        self.events.append("stop accepting")

    def open_request_count(self):
        return self.in_flight

    def start_handover(self):
        self.events.append("start handover")

    def is_handover_complete(self):
        return True

    def release(self):
        self.events.append("release")

    def abort_requests(self):
        aborted = [
            RequestSnapshot(
                f"r{n}", "payouts", Stage.SENT, RunState.UNKNOWN, 1.0
            )
            for n in range(self.in_flight)
        ]
        self.in_flight = 0
        return aborted


@given(
    "a node with {count:d} request in flight, notice {notice_s:d} s"
    " and deadline {deadline_s:d} s"
)
@given(
    "a node with {count:d} requests in flight, notice {notice_s:d} s"
    " and deadline {deadline_s:d} s"
)
def step_draining_node(context, count, notice_s, deadline_s):
    context.port = FakeDrainPort(count)
    context.outcomes = []

    def on_stopped(outcome):
        context.port.events.append("end")
        context.outcomes.append(outcome)

    settings = DrainSettings(notice_s=notice_s, deadline_s=deadline_s)
    context.draining = DrainController(context.port, settings, on_stopped)
    context.now_s = 100.0


@given("its requests cannot be aborted")
def step_unabortable(context):
    context.port.abort_requests = mock.Mock(side_effect=ValueError)


def pass_time(context, seconds):
    end_s = context.now_s + seconds
    while context.now_s < end_s:
        context.now_s += TICK_S
        # The timers of a node isolate exceptions in the same way.
        with contextlib.suppress(ValueError):
            context.draining.on_tick(context.now_s)


@when("the drain starts and {seconds:d} second passes")
@when("the drain starts and {seconds:d} seconds pass")
def step_drain(context, seconds):
    context.draining.start(context.now_s, context.now_s)
    pass_time(context, seconds)


@when("the request completes and {seconds:d} second passes")
def step_complete(context, seconds):
    context.port.in_flight = 0
    pass_time(context, seconds)


@when("the drain is forced to end and {seconds:d} second passes")
def step_force(context, seconds):
    context.draining.stop_now(context.now_s)
    pass_time(context, seconds)


@then("it has stopped accepting and has not ended")
def step_not_ended(context):
    assert context.port.events == ["stop accepting"], context.port.events


@then("it still accepts")
def step_accepts(context):
    assert context.port.events == [], context.port.events


@then("it has completed the handover before it ended with exit code 0")
def step_graceful(context):
    expected = ["stop accepting", "start handover", "release", "end"]
    assert context.port.events == expected, context.port.events
    assert [o.exit_code for o in context.outcomes] == [0]


@then("it has ended with exit code 1 and named the aborted request")
def step_aborted(context):
    assert [o.exit_code for o in context.outcomes] == [1]
    aborted = [
        entry.request_id for entry in context.outcomes[0].aborted_requests
    ]
    assert aborted == ["r0"], aborted


@given("a router that delivers heartbeats to a part")
def step_router(context):
    context.router = MessageRouter(None)
    context.router.register(FLEET_MESSAGES, object())


@when("a second part is registered for heartbeats")
def step_register_again(context):
    context.error = None
    try:
        context.router.register(FLEET_MESSAGES, object())
    except ValueError as error:
        context.error = error


@then("the registration is refused")
def step_registration_refused(context):
    assert "Heartbeat" in str(context.error), context.error


@given('settings whose target adapter is "{name}"')
def step_settings(context, name):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    settings = {
        "node": {"peer_address": "127.0.0.1:1", "data_centre": "east"},
        "caller_address": "127.0.0.1:2",
        "operator_address": "127.0.0.1:3",
        "platform": {"address": "127.0.0.1:4"},
        "adapters": {"target": name},
    }
    context.settings_file = pathlib.Path(directory.name) / "node.yaml"
    context.settings_file.write_text(yaml.safe_dump(settings))


@when("the daemon is run with these settings")
def step_run(context):
    code = "from egretrock_node.main import main; main()"
    command = [sys.executable, "-c", code, "run", "--settings"]
    context.process = subprocess.run(
        [*command, str(context.settings_file)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@then('it ends with exit code {code:d} and one line that names "{text}"')
def step_exit(context, code, text):
    assert context.process.returncode == code, context.process
    lines = context.process.stderr.splitlines()
    assert len(lines) == 1, lines
    assert text in lines[0], lines
