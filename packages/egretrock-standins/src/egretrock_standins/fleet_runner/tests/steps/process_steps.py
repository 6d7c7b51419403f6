import json
import pathlib
import signal
import tempfile
import time

from behave import given, then, when

from egretrock.state.config import Organisation, Profile, Route
from egretrock_standins.fleet_runner import (
    Fleet,
    FleetPlan,
    ManagedProcess,
    PlannedTarget,
    ProcessError,
    send_request,
)
from egretrock_standins.target import TargetOptions


@given("a fleet of {count:d} targets without nodes")
def step_fleet(context, count):
    targets = [
        PlannedTarget(
            service="records",
            data_centre="east",
            options=TargetOptions(target_id=f"r{number}"),
        )
        for number in range(count)
    ]
    context.fleet = Fleet(
        FleetPlan(
            node_data_centres=[],
            targets=targets,
            services={"records": "records"},
            profiles={"records": Profile()},
            routes={"all": Route("/", "records")},
            organisations={"alder": Organisation(10, 10)},
            targets_per_process=2,
        )
    )
    context.fleet.__enter__()
    context.add_cleanup(context.fleet.__exit__, None, None, None)


@when("a target process gets SIGSTOP")
def step_stop(context):
    context.fleet.target_processes[0].send_signal(signal.SIGSTOP)


@when("the block ends with an exception")
def step_exit(context):
    context.fleet.__exit__(ValueError, ValueError(), None)


@then("none of its processes runs")
def step_none(context):
    processes = [context.fleet.platform, *context.fleet.target_processes]
    assert len(processes) == 3
    assert all(process.exit_code is not None for process in processes)


@then("its folder is removed")
def step_folder(context):
    assert not context.fleet.folder.exists()


@when('a process runs "{code}"')
def step_run(context, code):
    scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(scratch.cleanup)
    folder = pathlib.Path(scratch.name)
    context.process = ManagedProcess("short", ["-c", code], folder)
    context.add_cleanup(context.process.stop)


@then('waiting for its readiness fails with "{text}" within {limit_s:d} s')
def step_reports(context, text, limit_s):
    started_s = time.monotonic()
    try:
        context.process.wait_ready(limit_s)
    except ProcessError as error:
        assert text in str(error), error
        assert "not ready within" not in str(error), error
        assert time.monotonic() - started_s < limit_s + 1
        return
    raise AssertionError("the process counts as ready")


@then("the published configuration holds digests and no key")
def step_keys(context):
    fleet = context.fleet
    answer = send_request(
        fleet.platform.ready_info["address"], "GET", "/v1/documents/config"
    )
    keys = answer.json()["value"]["keys"]
    assert list(keys.values()) == ["alder"], keys
    assert all(len(digest) == 64 for digest in keys)
    assert fleet.keys["alder"] not in json.dumps(answer.json())
