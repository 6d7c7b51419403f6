import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent / "steps"))


def before_scenario(context, scenario):
    from seams import switch_off

    context.without = context.config.userdata.get("without")
    if context.without:
        patch = switch_off(context.without)
        context.add_cleanup(patch.stop)
