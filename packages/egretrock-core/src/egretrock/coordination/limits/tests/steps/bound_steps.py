import contextlib
import dataclasses
from unittest import mock

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as given_values
from hypothesis import strategies as st

from egretrock.coordination.limits._demand import TokenStock
from egretrock.coordination.limits._pool import SharePool
from egretrock_standins.limits_experiment import Chaos, ChaosPlan
from egretrock_standins.virtual import FleetView

FAULTS = {
    "lost, repeated, late messages": {
        "loss": 0.2,
        "duplication": 0.3,
        "delay_s": 0.4,
    },
    "repeated messages": {"duplication": 1.0, "delay_s": 0.1},
    "kills": {"kills_per_s": 0.6},
    "planned stops": {"drains_per_s": 0.6},
    "freezes": {"freezes_per_s": 0.8},
    "cuts": {"cuts_per_s": 1.0},
    "several believed homes": {"view_changes_per_s": 2.0},
    "list changes": {"list_changes_per_s": 0.1},
    "limit changes": {"limit_changes_per_s": 0.1},
    "clock drift": {"has_clock_drift": True, "freezes_per_s": 0.5},
}
#: Tokens; larger than the rounding errors summed up over a run.
EXCESS_TOLERANCE = 1e-6


def accept_repeated_lease(pool, lender, lease, tokens):
    pool.leases[lender] = lease
    pool._set_level(pool.level + tokens, pool._last_advance_s)
    return True


def end_loan_early(pool, until_s):
    tokens, pool.level = pool.level, 0.0
    pool.own_share_from_s = until_s - 0.9
    return tokens


def held_ignoring_expiry(stock, home, now_s):
    entry = stock._granted.get(home)
    return 0.0 if entry is None else entry.tokens


def usable_at_once(view, now_s):
    return view._seen_revisions(view.to_virtual_s(now_s))[-1:]


def share_even_if_lent(pool, own_share, at_s):
    return own_share + sum(
        lease.share for lease in pool.leases.values() if lease.end_s > at_s
    )


MECHANISMS = {
    "grants taking up room": (SharePool, "outstanding", lambda *_: 0.0),
    "one use of a lease message": (SharePool, "accept", accept_repeated_lease),
    "the end of a loan": (SharePool, "lease_out", end_loan_early),
    "stopping on a lent share": (
        SharePool,
        "_usable_share",
        share_even_if_lent,
    ),
    "expiry of granted tokens": (TokenStock, "held", held_ignoring_expiry),
    "freshness at admission": (FleetView, "is_fresh", lambda *_: True),
    "late use of larger limits": (
        FleetView,
        "_usable_revisions",
        usable_at_once,
    ),
}


@contextlib.contextmanager
def switched_off(mechanism):
    if mechanism == "restart wait":
        yield {"restart_wait": False}
    else:
        owner, name, replacement = MECHANISMS[mechanism]
        with mock.patch.object(owner, name, replacement):
            yield {}


@given("faults of the kinds {kinds}")
def step_faults(context, kinds):
    context.faults = {}
    for kind in FAULTS if kinds == "all" else [kinds]:
        context.faults.update(FAULTS[kind])


@given("a burst of {burst:d} tokens")
def step_burst(context, burst):
    context.faults["burst"] = float(burst)


@when("{count:d} random histories are recorded")
def step_histories(context, count):
    context.worst = (float("-inf"), None)

    @settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_values(st.integers(0, 2**32), st.integers(1, 8))
    def record(seed, node_count):
        plan = ChaosPlan(seed=seed, node_count=node_count, **context.faults)
        excess = Chaos(plan).run()
        context.worst = max(context.worst, (excess, seed))

    record()


@then("no window of any history exceeds rate x t + burst")
def step_bound(context):
    excess, seed = context.worst
    assert excess <= EXCESS_TOLERANCE, f"excess {excess:.2f} with seed {seed}"


@when("the mechanism {mechanism} is off in {count:d} histories from {first:d}")
def step_switched_off(context, mechanism, count, first):
    context.excess = float("-inf")
    with switched_off(mechanism) as fields:
        for seed in range(first, first + count):
            plan = ChaosPlan(seed=seed, **context.faults)
            plan = dataclasses.replace(plan, **fields)
            context.excess = max(context.excess, Chaos(plan).run())
            if context.excess > EXCESS_TOLERANCE:
                print(f"{mechanism} off: excess {context.excess:.1f}")
                return


@then("a window exceeds rate x t + burst")
def step_exceeded(context):
    assert context.excess > EXCESS_TOLERANCE, context.excess
