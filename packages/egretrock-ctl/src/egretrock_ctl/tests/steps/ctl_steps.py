import json
import pathlib
import subprocess
import sys
import tempfile
import threading

from behave import given, then, when
from twisted.internet import reactor

from egretrock.state.config import check_config
from egretrock.state.outcome import RefusalCode, RetryReason, explain_refusal
from egretrock_node.protocol.status import DocumentStatus, NodeStatus
from egretrock_node.transport.operator import OperatorEndpoint

EXAMPLE = pathlib.Path("examples/config.yaml")


def run(context, *arguments):
    command = [sys.executable, "-c"]
    command += ["from egretrock_ctl.main import main; main()", *arguments]
    context.process = subprocess.run(
        command, capture_output=True, text=True, timeout=60, check=False
    )


@when('egretrockctl is run with "{arguments}"')
def step_run(context, arguments):
    run(context, *arguments.split())


@given('the configuration example with "{old}" replaced by "{new}"')
def step_example(context, old, new):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.file = pathlib.Path(folder.name) / "config.yaml"
    text = EXAMPLE.read_text()
    assert old in text
    context.file.write_text(text.replace(old, new))


@when("egretrockctl checks it as JSON")
def step_check_json(context):
    run(context, "check", "--kind", "config", "--json", str(context.file))


@then("the exit code is {code:d}")
def step_exit_code(context, code):
    assert context.process.returncode == code, context.process


@then("the finding has the path {path} and a line")
def step_path(context, path):
    findings = json.loads(context.process.stdout)
    assert [f["path"] for f in findings] == [path], findings
    assert findings[0]["line"] > 0, findings


@then("the output is an accepted configuration")
def step_output_accepted(context):
    report = check_config(context.process.stdout.encode())
    assert report.findings == [], report.findings


@then("there is no traceback")
def step_no_traceback(context):
    assert "Traceback" not in context.process.stderr, context.process.stderr


class FakeNode:
    def __init__(self):
        self.drain_count = 0

    def not_ready_reasons(self):
        return ["configuration not confirmed"]

    def effective_config(self):
        return None

    def start_drain(self):
        self.drain_count += 1

    def status(self):
        document = DocumentStatus(revision=None)
        return NodeStatus(
            node="127.0.0.1:7000",
            data_centre="east",
            incarnation=1,
            version="0",
            ready=False,
            not_ready_reasons=self.not_ready_reasons(),
            fresh=False,
            draining=False,
            uptime_s=1.0,
            in_flight=0,
            config=document,
            vms=document,
            peers=[],
            partitions_held=[],
            organisations=[],
            targets=[],
            counters={},
            gauges={},
        )


@given("an operator endpoint whose node is not ready")
def step_endpoint(context):
    context.node = FakeNode()
    endpoint = OperatorEndpoint(reactor, "127.0.0.1:0", context.node)
    endpoint.start()
    context.port = endpoint.port_number()
    thread = threading.Thread(
        target=reactor.run, kwargs={"installSignalHandlers": False}
    )
    thread.start()

    def stop():
        reactor.callFromThread(reactor.stop)
        thread.join()

    context.add_cleanup(stop)


@when("egretrockctl asks it for the status")
def step_ask_status(context):
    run(context, "status", f"127.0.0.1:{context.port}")


@then("the output names the reason")
def step_reason(context):
    assert "configuration not confirmed" in context.process.stdout, (
        context.process
    )


@when("egretrockctl asks it to drain")
def step_ask_drain(context):
    run(context, "drain", f"127.0.0.1:{context.port}")


@then("the node is asked to drain once")
def step_drained(context):
    assert context.node.drain_count == 1


@then(
    "docs/OPERATIONS.md has a row for each code, with its status,"
    " and each reason"
)
def step_operators_page(context):
    page = pathlib.Path("docs/OPERATIONS.md").read_text()
    for code in RefusalCode:
        row = f"| `{code.value}` | {explain_refusal(code).status} |"
        assert row in page, row
    for reason in RetryReason:
        assert f"| `{reason.value}` |" in page, reason


LOG = """\
  1.0 front-a {"time":"01","message":"started","node":"front-a"}
  2.0 front-a {"time":"02","message":"configuration in force","version":"r3"}
  2.5 front-b {"time":"02","message":"configuration in force","version":"r2"}
  3.0 front-a {"time":"03","message":"request read","request_id":"r-1"}
  3.1 front-b {"time":"03","message":"request read","request_id":"r-2"}
not a record
  3.2 front-b {"time":"04","message":"platform lost","reason":"status 503"}
  3.3 front-b {"time":"05","message":"request refused","request_id":"r-2",\
"code":"key_unknown"}
"""


@given("the logs of two nodes with three requests")
def step_logs(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.log = pathlib.Path(folder.name) / "log.txt"
    context.log.write_text(LOG)


@when('egretrockctl explains request "{request_id}" from them')
def step_explain(context, request_id):
    run(context, "explain", request_id, "--log", str(context.log))


@then("the output has the node, its state and the reason, in order")
def step_explained(context):
    lines = context.process.stdout.splitlines()
    assert len(lines) == 4, lines
    assert "knew: configuration in force: version r2" in lines[0]
    assert "front-b request read" in lines[1]
    assert "knew: platform lost: reason status 503" in lines[2]
    assert "request refused: code key_unknown" in lines[3]
    assert "r3" not in context.process.stdout
