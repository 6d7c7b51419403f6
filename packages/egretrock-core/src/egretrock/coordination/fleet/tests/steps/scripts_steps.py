import fleet_mutants
import fleet_scripts
from behave import then, when

from egretrock.coordination.fleet import Fleet


@when("the script {name} runs")
def step_script(context, name):
    context.script = getattr(fleet_scripts, name)
    context.finding = context.script(Fleet)


@then("it finds no violation")
def step_nothing(context):
    assert context.finding is None, context.finding


@then("with the fault {name} it finds a violation")
def step_something(context, name):
    finding = context.script(getattr(fleet_mutants, name))
    print(finding)
    assert finding is not None
