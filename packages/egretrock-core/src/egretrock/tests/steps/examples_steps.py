import doctest
import importlib
import pkgutil

from behave import then, when


def modules_of(package):
    yield package
    prefix = f"{package.__name__}."
    for info in pkgutil.walk_packages(package.__path__, prefix):
        if ".tests" not in info.name:
            yield importlib.import_module(info.name)


@when("the examples of the package {name} run")
def step_run_examples(context, name):
    package = importlib.import_module(name)
    results = [doctest.testmod(module) for module in modules_of(package)]
    context.attempted = sum(result.attempted for result in results)
    context.failed_count = sum(result.failed for result in results)


@then("at least {count:d} examples ran and none failed")
def step_none_failed(context, count):
    assert context.attempted >= count, context.attempted
    assert context.failed_count == 0, context.failed_count
