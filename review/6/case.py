"""Configurations come in quick succession while the configuration is large.

Each version adds a route and takes a key away. Clients ask each gateway for
routes, and with keys, whose version was acknowledged over ``config-apply-s``
before.
"""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))

import world as w

ZONES = ("a", "b", "c", "d")
GATEWAYS = 19
CONFIG_APPLY_S = 2.0
#: As the site file limewell-gw writes big_config and config_storm.
ROUTES, CHANGE_GAP_S, STORM_S = 350, 0.17, 3.6
STORMS, PAUSE_S = 4, 3.0
KEYS = 120
ASK_GAP_S = 0.08  # of each gateway
#: A version that is asked for was acknowledged between these times before.
ASKED_FROM_S, ASKED_TO_S = CONFIG_APPLY_S, 3.2


class Operator:
    """Publishes versions; ``acked`` has the time and number of each."""

    def __init__(self, world):
        self._world = world
        rng = random.Random(6)
        self._base = [
            self._route(
                f"r-{rng.getrandbits(40):010x}",
                f"/{rng.getrandbits(32):08x}/",
                "one",
            )
            for _ in range(ROUTES)
        ]
        self._base.append(self._route("r-main", "/main/", "one"))
        self.keys = [f"{rng.getrandbits(80):020x}" for _ in range(KEYS)]
        self.number, self.acked = 0, []

    @staticmethod
    def _route(name, prefix, service):
        return {
            "name": name,
            "host": "a.example",
            "prefix": prefix,
            "kind": "safe",
            "service": service,
            "timeout-s": 1.5,
            "target-latency-s": 0.6,
            "priority": 2,
            "max-attempts": 2,
            "public": False,
        }

    def config(self):
        """Returns the newest version: key 0 stays, 1 to ``number`` are gone."""
        added = [
            self._route(f"s-{n}", f"/s{n}/", "one")
            for n in range(max(1, self.number - 40), self.number + 1)
        ]
        tenant = {
            "name": "acme",
            "priority": 1,
            "rate-per-s": 0,
            "burst": 0,
            "api-keys": self.keys[:1] + self.keys[self.number + 1 :],
        }
        services = [
            {
                "name": "one",
                "health-path": "/health",
                "max-connections": 260,
                "warmup-s": 3.0,
                "warmup-per-s": 50.0,
            }
        ]
        return w.config(
            self.number + 100, services, self._base + added, [tenant]
        )

    async def change(self):
        self.number += 1
        await self._world.store.put("op/config", self.config())
        now_s = self._world.record.now()
        self.acked.append((now_s, self.number))
        self._world.record.write(
            f"version r{self.number + 100} acknowledged: adds /s{self.number}/,"
            f" takes key {self.number} away"
        )

    def newest_before(self, time_s):
        """Returns the newest version acknowledged before a time, or None."""
        for acked_s, number in reversed(self.acked):
            if acked_s < time_s:
                return acked_s, number
        return None


async def ask(world, operator, gateway, end_s, found):
    """Asks one gateway again and again; appends what breaks the rule."""
    record = world.record
    clients = [
        w.Client(world, gateway, operator.keys[0]),
        w.Client(world, gateway, None),
    ]
    by_key = False
    while record.now() < end_s:
        await asyncio.sleep(ASK_GAP_S)
        known = operator.newest_before(record.now() - ASKED_FROM_S)
        if known is None or record.now() - known[0] > ASKED_TO_S:
            continue
        acked_s, number = known
        by_key = not by_key
        client = clients[by_key]
        if by_key:
            client.key, path = operator.keys[number], "/main/1"
        else:
            path = f"/s{number}/1"
        sent_s = record.now()
        request_id, answer = await client.request(path, deadline_ms=1500)
        status = answer and answer[0]
        if status == (200 if by_key else 404):
            what = (
                "runs with key %d, which was taken away"
                if by_key
                else "is refused with 404 on /s%d/, which was added"
            ) % number
            late_s = sent_s - acked_s
            found.append((late_s, gateway.name))
            record.write(
                f"BROKEN: {request_id} at {gateway.name} {what}"
                f" {late_s:.2f} s before it was sent"
            )


async def case(record):
    world = w.World(record, ZONES, GATEWAYS)
    instances = [
        w.Instance(f"i-{zone}{n}", zone, "one", record, slots=6, work_s=0.005)
        for zone in ZONES
        for n in (1, 2)
    ]
    operator = Operator(world)
    found = []
    try:
        await world.start(operator.config(), instances)
        await asyncio.sleep(4.0)
        start_s = record.now()
        end_s = start_s + STORMS * (STORM_S + PAUSE_S)
        asks = [
            asyncio.create_task(ask(world, operator, g, end_s, found))
            for g in world.gateways
        ]
        for _ in range(STORMS):
            # Without the disruption one change takes the place of a storm.
            changes = round(STORM_S / CHANGE_GAP_S) if w.with_trouble() else 1
            begin_s = record.now()
            for n in range(changes):
                await operator.change()
                await asyncio.sleep(
                    max(0.0, begin_s + (n + 1) * CHANGE_GAP_S - record.now())
                )
            await asyncio.sleep(begin_s + STORM_S + PAUSE_S - record.now())
        await asyncio.gather(*asks)
        names = sorted({name for _, name in found})
        record.say(
            f"{operator.number} versions; {len(found)} requests were"
            f" handled as an older version allows over {CONFIG_APPLY_S}"
            f" s after the acknowledgement, at {len(names)} of"
            f" {GATEWAYS} machines"
        )
        if found:
            record.say(f"the latest {max(found)[0]:.2f} s after it")
        return w.BROKEN if found else w.HELD
    finally:
        world.close()


if __name__ == "__main__":
    sys.exit(w.run(case, pathlib.Path(__file__).parent))
