import fleet_mutants
from behave import given, then, when
from fleet_history import (
    NETWORK,
    PLATFORM,
    for_all,
    plans,
    run_plan,
)

from egretrock.coordination.fleet import Fleet
from egretrock_standins.virtual import FleetHistory, PlatformView

RESTARTS = ("kill", "restart_any", "restart_all", "release", "platform_stale")
PUBLICATIONS = (*NETWORK, *PLATFORM, "restart", "publish")
CHANGES = ("add_vm", "remove_vm", "replace_vm")


class RestartWorld(FleetHistory):
    """Whole-fleet restarts may forget a revision, but not a vote."""

    def check_freshness(self):
        pass

    def check_shares(self):
        pass


def run_restarts(plan, fleet_type):
    run_plan(plan, fleet_type, world_type=RestartWorld, recovers=True)


def run_publications(plan, fleet_type):
    run_plan(plan, fleet_type)


def run_changes(plan, fleet_type):
    run_plan(plan, fleet_type, recovers=True)


def run_stale(plan, fleet_type):
    """Replicas are stale, but each node hears its peers in time."""
    run_plan(plan, fleet_type, 2.5, PlatformView.STALE)


KINDS = {
    "restarts": (plans((*NETWORK, *PLATFORM, *RESTARTS)), run_restarts),
    "publications": (plans(PUBLICATIONS), run_publications),
    "stale replicas": (
        plans(
            ("wait", "publish", "freeze", "wake", "one_current"),
            longest_delay_s=0.3,
            losses=(0.0, 0.05),
        ),
        run_stale,
    ),
    "list changes": (plans((*PUBLICATIONS, *CHANGES)), run_changes),
}


@given("a fleet with the fault {name}")
def step_mutant(context, name):
    context.fleet_type = getattr(fleet_mutants, name)


@when("{count:d} histories with {kind} run")
def step_run(context, count, kind):
    strategy, run = KINDS[kind]
    fleet_type = getattr(context, "fleet_type", Fleet)
    context.finding = None
    try:
        for_all(
            strategy,
            lambda plan: run(plan, fleet_type),
            count,
            shrink=fleet_type is Fleet,
        )
    except AssertionError as error:
        context.finding = str(error)


@then("no history shows a fault")
def step_no_fault(context):
    assert context.finding is None, context.finding


@then('a history shows "{text}"')
def step_fault(context, text):
    print(context.finding)
    assert context.finding is not None
    assert text in context.finding, context.finding
