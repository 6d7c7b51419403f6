import fleet_mutants
from behave import given, then, when
from fleet_history import (
    NETWORK_ACTIONS,
    PLATFORM_ACTIONS,
    check_examples,
    plans,
    run_plan,
)

from egretrock.coordination.fleet import Fleet
from egretrock_standins.virtual import FleetHistory, PlatformView

RESTART_ACTIONS = (
    "kill",
    "restart_any",
    "restart_all",
    "release",
    "platform_stale",
)
PUBLICATION_ACTIONS = (
    *NETWORK_ACTIONS,
    *PLATFORM_ACTIONS,
    "restart",
    "publish",
)
VM_LIST_ACTIONS = ("add_vm", "remove_vm", "replace_vm")


class RestartWorld(FleetHistory):
    """A fleet whose restarts may lose a revision, but not a vote.

    So freshness and shares are not checked.
    """

    def check_freshness(self):
        pass

    def check_shares(self):
        pass


def run_restarts(plan, fleet_type):
    run_plan(plan, fleet_type, world_type=RestartWorld, must_recover=True)


def run_publications(plan, fleet_type):
    run_plan(plan, fleet_type)


def run_list_changes(plan, fleet_type):
    run_plan(plan, fleet_type, must_recover=True)


def run_stale_replicas(plan, fleet_type):
    """Replicas are stale, but every node hears from its peers in time."""
    run_plan(plan, fleet_type, 2.5, PlatformView.STALE)


KINDS = {
    "restarts": (
        plans((*NETWORK_ACTIONS, *PLATFORM_ACTIONS, *RESTART_ACTIONS)),
        run_restarts,
    ),
    "publications": (plans(PUBLICATION_ACTIONS), run_publications),
    "stale replicas": (
        plans(
            ("wait", "publish", "freeze", "wake", "one_current"),
            longest_delay_s=0.3,
            losses=(0.0, 0.05),
        ),
        run_stale_replicas,
    ),
    "list changes": (
        plans((*PUBLICATION_ACTIONS, *VM_LIST_ACTIONS)),
        run_list_changes,
    ),
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
        check_examples(
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
