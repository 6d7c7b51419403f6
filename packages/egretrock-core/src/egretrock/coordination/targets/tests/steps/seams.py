"""Switches that turn one mechanism off, to see its scenarios fail.

``behave -D without=ramp packages/.../targets/tests`` runs without the ramp.
"""

from unittest import mock

from egretrock.coordination.targets import _client, _home, _probes, _record


def _connect_anywhere(home, target, record, connected):
    return home.complete or connected


def _complete(home, vms, now_s, original=_home.ServiceHome.sync_nodes):
    original(home, vms, now_s)
    home.complete = True


def _drop_all(home, node, now_s, successor):
    session = home.sessions.pop(node, None)
    if session is not None:
        home._asking.pop(node, None)
        for permit in session.permits.values():
            home.ledger.remove(permit)


def _start_full(budget, now_s):
    budget._tokens = 1.0
    budget._updated_s = now_s


def _any_number(session, number):
    session.through = max(session.through, number)
    return True


def _believe(record, health, outstanding, now_s):
    record._excess = outstanding - health.slots
    record._excess_until_s = now_s + 1.0


HOME, CLIENT = _home.ServiceHome, _client.TargetClient
RECORD, BUDGET = _record.TargetRecord, _probes.ProbeBudget
SEAMS = {
    "ramp": (RECORD, "_ramp_limit", lambda r, now_s: r.ceiling),
    "connection_rule": (HOME, "_may_issue", _connect_anywhere),
    "census": (HOME, "sync_nodes", _complete),
    "orphans": (HOME, "_drop_session", _drop_all),
    "query": (HOME, "_query", lambda *_: []),
    "budget": (BUDGET, "take", lambda *_: True),
    "empty_budget": (BUDGET, "__init__", _start_full),
    "config_check": (CLIENT, "_is_usable", lambda *_: True),
    "home_eligible": (_home, "usable_target", lambda *_: True),
    "expiry": (_client, "PERMIT_S", 1000.0),
    "return_ramp": (RECORD, "restart_ramp", lambda *_: None),
    "draining": (RECORD, "on_condition", lambda *_: None),
    "on_the_way": (RECORD, "_on_the_way", lambda *_: 0),
    "lower_only": (RECORD, "on_load", _believe),
    "trials": (RECORD, "keep_one", lambda *_: None),
    "standing": (_home, "STANDING_SHARE", 0.0),
    "own_choice": (CLIENT, "_choose_locally", lambda *_: None),
    "split": (_home, "LIST_BYTES", 100_000),
    "number_check": (_client._Session, "receive", _any_number),
}


def switch_off(name):
    """Starts the patch of one mechanism; ``stop`` of the result ends it."""
    owner, attribute, replacement = SEAMS[name]
    patch = mock.patch.object(owner, attribute, replacement)
    patch.start()
    return patch
