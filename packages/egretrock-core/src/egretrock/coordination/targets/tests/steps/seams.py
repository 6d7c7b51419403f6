"""Switches that turn one mechanism off, so that its scenarios must fail.

``behave -D without=ramp packages/.../targets/tests`` runs without the ramp.
"""

from unittest import mock

from egretrock.coordination.targets import _client, _home, _probes, _record


def _allow_first_connections(home, target, record, connected):
    return home.census_complete or connected


def _skip_census(home, vms, now_s, original=_home.ServiceHome.apply_vm_list):
    original(home, vms, now_s)
    home.census_complete = True


def _drop_permits(home, node, now_s, successor):
    session = home.sessions.pop(node, None)
    if session is not None:
        home._waiting_nodes.pop(node, None)
        for permit in session.permits.values():
            home.ledger.remove(permit)


def _start_full(budget, now_s):
    budget._tokens = 1.0
    budget._updated_s = now_s


def _accept_any_number(session, number):
    session.through = max(session.through, number)
    return True


def _apply_load_report(record, health, outstanding, now_s):
    record._external_requests = outstanding - health.slots
    record._load_report_until_s = now_s + 1.0


HOME, CLIENT = _home.ServiceHome, _client.TargetClient
RECORD, BUDGET = _record.TargetRecord, _probes.ProbeBudget
MECHANISMS = {
    "ramp": (RECORD, "_ramp_limit", lambda r, now_s: r.ceiling),
    "connection_rule": (HOME, "_may_issue", _allow_first_connections),
    "census": (HOME, "apply_vm_list", _skip_census),
    "unreturned_permits": (HOME, "_drop_session", _drop_permits),
    "query": (HOME, "_query", lambda *_: []),
    "budget": (BUDGET, "take", lambda *_: True),
    "empty_budget": (BUDGET, "__init__", _start_full),
    "config_check": (CLIENT, "_is_usable", lambda *_: True),
    "home_eligible": (_home, "usable_target", lambda *_: True),
    "expiry": (_client, "PERMIT_VALIDITY_S", 1000.0),
    "return_ramp": (RECORD, "restart_ramp", lambda *_: None),
    "draining": (RECORD, "on_condition", lambda *_: None),
    "in_transit": (RECORD, "_permits_in_transit", lambda *_: 0),
    "lower_only": (RECORD, "on_load", _apply_load_report),
    "trials": (RECORD, "limit_to_trials", lambda *_: None),
    "standing": (_home, "STANDING_SHARE", 0.0),
    "local_choice": (CLIENT, "_choose_locally", lambda *_: None),
    "split": (_home, "MAX_LIST_BYTES", 100_000),
    "number_check": (_client._Session, "receive", _accept_any_number),
}


def switch_off(name):
    """Turns one mechanism off until ``stop`` of the returned patch."""
    owner, attribute, replacement = MECHANISMS[name]
    patch = mock.patch.object(owner, attribute, replacement)
    patch.start()
    return patch
