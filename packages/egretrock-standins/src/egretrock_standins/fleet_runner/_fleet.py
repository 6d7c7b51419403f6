"""Starts, controls and ends a fleet of processes."""

import contextlib
import copy
import hashlib
import http.client
import json
import pathlib
import secrets
import signal
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from typing import Any

import msgspec
import yaml

from egretrock.state.config import (
    DataCentre,
    PublishedConfig,
    Service,
    Target,
)
from egretrock_standins.fleet_runner._client import (
    Answer,
    call_control,
    send_request,
)
from egretrock_standins.fleet_runner._plan import FleetPlan, PlannedTarget
from egretrock_standins.fleet_runner._process import (
    READY_TIMEOUT_S,
    ManagedProcess,
    ProcessError,
)
from egretrock_standins.fleet_runner._statsd import StatsdSink
from egretrock_standins.target import History, RunRecord

#: The daemon's script is installed next to the interpreter.
NODE_COMMAND = [str(pathlib.Path(sys.executable).parent / "egretrock"), "run"]
#: Before they are ready, nodes confirm with a majority and await handovers.
NODE_READY_TIMEOUT_S = 40.0
POLL_S = 0.1
_PORT_RANGE = range(10_000, 32_000)


def free_address(host: str) -> str:
    """Returns ``"ip:port"`` of a port that is free for TCP and UDP.

    The port is chosen below the kernel's range for outgoing connections, so
    that none of them takes it before the process starts.
    """
    for _ in range(50):
        port = (
            secrets.randbelow(_PORT_RANGE.stop - _PORT_RANGE.start)
            + _PORT_RANGE.start
        )
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
        ):
            try:
                stream.bind((host, port))
                datagrams.bind((host, port))
            except OSError:
                continue
            return f"{host}:{port}"
    raise ProcessError(f"no port of {host} is free for both TCP and UDP")


def key_digest(key: str) -> str:
    """Returns the SHA-256 digest under which a key is published."""
    return hashlib.sha256(key.encode()).hexdigest()


class NodeProcess:
    """One node: its addresses, its settings file and its process."""

    def __init__(self, index: int, data_centre: str) -> None:
        host = f"127.0.1.{index + 1}"
        self.name = f"node{index}"
        self.data_centre = data_centre
        self.node_id = free_address(host)
        self.caller_address = free_address(host)
        self.operator_address = free_address(host)
        self.process: ManagedProcess | None = None
        self._start_count = 0

    def settings(
        self, plan: FleetPlan, platform_address: str, statsd_address: str
    ) -> Any:
        """Returns the content of the settings file."""
        return {
            "node": {
                "peer_address": self.node_id,
                "data_centre": self.data_centre,
            },
            "caller_address": self.caller_address,
            "operator_address": self.operator_address,
            "platform": {"address": platform_address},
            "statsd_address": statsd_address,
            "freshness_s": plan.freshness_s,
            "drain": {
                "notice_s": plan.drain_notice_s,
                "deadline_s": plan.drain_deadline_s,
            },
            "log": {"level": plan.log_level, "json": True},
        }

    def start(self, folder: pathlib.Path) -> None:
        """Starts the process, or restarts it after its end."""
        name = f"{self.name}-{self._start_count}"
        self._start_count += 1
        settings = str(folder / f"{self.name}.yaml")
        self.process = ManagedProcess(
            name, [*NODE_COMMAND, "--settings", settings], folder, False
        )

    def send_request(
        self, method: str, path: str, key: str = "", **request_options: Any
    ) -> Answer:
        """Sends a caller's request on a new connection."""
        headers = dict(request_options.pop("headers", {}))
        if key:
            headers["Authorization"] = f"Bearer {key}"
        return send_request(
            self.caller_address, method, path, headers, **request_options
        )

    def call_operator(self, path: str, method: str = "GET") -> Answer:
        """Calls the operator endpoint."""
        return send_request(self.operator_address, method, path)

    def is_ready(self) -> bool:
        """Returns whether ``/readyz`` answers 200."""
        try:
            return self.call_operator("/readyz").status == 200
        except (OSError, http.client.HTTPException):
            return False


class Fleet(contextlib.AbstractContextManager):
    """A platform, targets and nodes on loopback addresses.

    ``__enter__`` starts all processes; ``__exit__`` ends them and removes
    the temporary folder of their files.

    Attributes:
        config: The configuration last published, as JSON values.
        vms: The VM list last published, as JSON values.
        keys: Key by organisation.
        nodes: The nodes.
        statsd: Receiver of the nodes' metrics.
        platform: Process of the stand-in platform.
        target_processes: Processes of the stand-in targets.
        folder: Temporary folder of settings, logs and histories.
    """

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.keys = {o: secrets.token_hex(16) for o in plan.organisations}
        self.nodes: list[NodeProcess] = []
        self.config: dict[str, Any] = {}
        self.vms: dict[str, Any] = {}
        self._exit_stack = contextlib.ExitStack()
        self._control_addresses: dict[str, str] = {}
        self._target_addresses: dict[str, str] = {}
        self.target_processes: list[ManagedProcess] = []

    def __enter__(self) -> "Fleet":
        """Starts all processes and waits until the nodes are ready."""
        try:
            self._start()
        except BaseException:
            self._exit_stack.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Ends all processes and removes the files."""
        self._exit_stack.close()

    def publish_config(self, change: Callable[[Any], None]) -> int:
        """Publishes a changed configuration; returns its revision.

        Args:
            change: Changes a copy of the last published configuration.
        """
        tree = copy.deepcopy(self.config)
        change(tree)
        answer = self.call_platform_control("PUT", "/documents/config", tree)
        self.config = tree
        return answer["revision"]

    def publish_vms(self, change: Callable[[Any], None]) -> int:
        """Publishes a changed VM list; returns its revision.

        Args:
            change: Changes a copy of the last published VM list.
        """
        tree = copy.deepcopy(self.vms)
        change(tree)
        answer = self.call_platform_control("PUT", "/documents/vms", tree)
        self.vms = tree
        return answer["revision"]

    def call_platform_control(
        self, method: str, path: str, value: Any = None
    ) -> Any:
        """Calls the control endpoint of the platform."""
        return call_control(
            self.platform.ready_info["control"], method, path, value
        )

    def call_target_control(
        self, verb: str, target_id: str, value: Any = None, action: str = ""
    ) -> Any:
        """Calls the control endpoint of a target.

        Args:
            verb: ``history``, ``stats``, ``options`` or ``action``.
            target_id: The target.
            value: Options to change.
            action: ``cold``, ``drain``, ``silence`` or ``crash``.
        """
        method = {"options": "PUT", "action": "POST"}.get(verb, "GET")
        path = f"/{verb}/{target_id}" + (f"/{action}" if action else "")
        return call_control(
            self._control_addresses[target_id], method, path, value
        )

    def target_address(self, target_id: str) -> str:
        """Returns the address of a target."""
        return self._target_addresses[target_id]

    def history(self) -> list[RunRecord]:
        """Returns the runs of all targets, including crashed ones."""
        records: list[RunRecord] = []
        for file in sorted(self.folder.glob("*.history")):
            records += History.read(file)
        return records

    def start_node(self, node: NodeProcess) -> None:
        """Starts a node, or restarts it after its end."""
        node.start(self.folder)
        # Killed on exit, because a drain takes seconds; ``stop_nodes`` drains.
        self._exit_stack.callback(node.process.kill)

    def wait_ready(self, nodes: list[NodeProcess] | None = None) -> None:
        """Waits until nodes report ready.

        Raises:
            ProcessError: A node ended or was not ready in time.
        """
        deadline_s = time.monotonic() + NODE_READY_TIMEOUT_S
        for node in self.nodes if nodes is None else nodes:
            while not node.is_ready():
                process = node.process
                ended = process.exit_code is not None
                if ended or time.monotonic() > deadline_s:
                    state = "ended" if ended else "is not ready"
                    log = process.log()[-3000:]
                    raise ProcessError(f"{node.name} {state}: {log}")
                time.sleep(POLL_S)

    def wait_serving(self, path: str, key: str) -> None:
        """Waits until each node has answered a request with 200.

        The nodes of a new fleet have no warm targets until the first
        partition leases exist.
        """
        deadline_s = time.monotonic() + NODE_READY_TIMEOUT_S
        for node in self.nodes:
            while True:
                answer = node.send_request("GET", path, key)
                if answer.status == 200:
                    break
                if time.monotonic() > deadline_s:
                    raise ProcessError(f"{node.name} does not serve: {answer}")
                time.sleep(POLL_S)

    def stop_nodes(self, timeout_s: float = 30.0) -> dict[str, int]:
        """Drains all nodes by SIGTERM; returns their exit codes by name."""
        running = [n for n in self.nodes if n.process.exit_code is None]
        for node in running:
            node.process.send_signal(signal.SIGTERM)
        return {n.name: n.process.wait(timeout_s) for n in running}

    def _start(self) -> None:
        scratch = tempfile.TemporaryDirectory(prefix="egretrock-fleet-")
        self.folder = pathlib.Path(self._exit_stack.enter_context(scratch))
        self._exit_on_sigterm()
        self.statsd = StatsdSink("127.0.0.1")
        self._exit_stack.callback(self.statsd.close)
        self.platform = self._run_standin("platform", [])
        self._start_targets()
        self.platform.wait_ready()
        for index, data_centre in enumerate(self.plan.node_data_centres):
            self.nodes.append(NodeProcess(index, data_centre))
        tree = msgspec.to_builtins(self._first_config())
        self.publish_config(lambda config: config.update(tree))
        self.publish_vms(lambda vms: vms.update(self._first_vms()))
        for node in self.nodes:
            settings = node.settings(
                self.plan,
                self.platform.ready_info["address"],
                self.statsd.address,
            )
            file = self.folder / f"{node.name}.yaml"
            file.write_text(yaml.safe_dump(settings))
            self.start_node(node)
        self.wait_ready()

    def _exit_on_sigterm(self) -> None:
        """Ends the started processes when this process gets SIGTERM."""
        if threading.current_thread() is not threading.main_thread():
            return
        previous = signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
        self._exit_stack.callback(signal.signal, signal.SIGTERM, previous)

    def _run_standin(self, name: str, arguments: list[str]) -> ManagedProcess:
        module = f"egretrock_standins.{name.partition('-')[0]}"
        command = ["-m", module, *arguments]
        process = ManagedProcess(name, command, self.folder)
        self._exit_stack.callback(process.stop)
        return process

    def _start_targets(self) -> None:
        group_size = self.plan.targets_per_process
        planned = self.plan.targets
        groups = [
            planned[i : i + group_size]
            for i in range(0, len(planned), group_size)
        ]
        for number, group in enumerate(groups):
            entries = [self._target_entry(target) for target in group]
            file = self.folder / f"target-{number}.json"
            file.write_text(json.dumps(entries))
            process = self._run_standin(f"target-{number}", [str(file)])
            self.target_processes.append(process)
        for process in self.target_processes:
            process.wait_ready(READY_TIMEOUT_S)
            for target_id, address in process.ready_info["targets"].items():
                self._control_addresses[target_id] = process.ready_info[
                    "control"
                ]
                self._target_addresses[target_id] = address

    def _target_entry(self, planned: PlannedTarget) -> dict[str, Any]:
        entry = msgspec.to_builtins(planned.options)
        if entry["history_file"] is None:
            name = f"{planned.options.target_id}.history"
            entry["history_file"] = str(self.folder / name)
        return entry

    def _first_config(self) -> PublishedConfig:
        plan = self.plan
        services = {
            service: Service(profile=profile, targets={})
            for service, profile in plan.services.items()
        }
        for planned in plan.targets:
            if planned.published:
                target_id = planned.options.target_id
                services[planned.service].targets[target_id] = Target(
                    address=self._target_addresses[target_id],
                    data_centre=planned.data_centre,
                    slots=planned.options.slots,
                )
        return PublishedConfig(
            organisations=plan.organisations,
            data_centres={name: DataCentre() for name in plan.data_centres},
            profiles=plan.profiles,
            services=services,
            routes=plan.routes,
            keys={key_digest(key): o for o, key in self.keys.items()},
        )

    def _first_vms(self) -> dict[str, Any]:
        return {
            "vms": {
                node.node_id: {
                    "data_centre": node.data_centre,
                    "state": "live",
                    "operator_address": node.operator_address,
                }
                for node in self.nodes
            }
        }
