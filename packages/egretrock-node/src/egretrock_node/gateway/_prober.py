"""Sends the load probes of the target chooser and reads their answers."""

import functools
from collections.abc import Callable

from twisted.internet.defer import maybeDeferred
from twisted.python.failure import Failure

from egretrock.coordination.base import ErrorHandler
from egretrock.coordination.probing import (
    LoadProbe,
    LoadReading,
    TargetChooser,
)
from egretrock.state.config import Target
from egretrock.state.ids import ServiceId, TargetId
from egretrock_node.gateway._ports import Platform
from egretrock_node.transport.target import FetchError, TargetPool

TargetLookup = Callable[[ServiceId, TargetId], tuple[Target, str] | None]


class LoadProber:
    """Probes the load of targets on the connections that requests use.

    Args:
        chooser: Decides which targets are probed.
        pool: Connections to targets.
        platform: Decodes the answers.
        target_of: Returns a target and its health path, or None.
        on_answer: Called after each probe was answered or failed.
        on_error: Handles an exception that is no failure of a target.
    """

    def __init__(
        self,
        chooser: TargetChooser,
        pool: TargetPool,
        platform: Platform,
        target_of: TargetLookup,
        on_answer: Callable[[], None],
        on_error: ErrorHandler,
    ) -> None:
        self._on_error = on_error
        self._chooser = chooser
        self._pool = pool
        self._platform = platform
        self._target_of = target_of
        self._on_answer = on_answer

    def send(self) -> None:
        """Sends the probes that are due."""
        for probe in self._chooser.take_probes():
            target_and_path = self._target_of(probe.service, probe.target)
            if target_and_path is None:
                self._report(probe, None)
                continue
            target, path = target_and_path
            pending = maybeDeferred(
                self._pool.fetch, probe.address, path.encode(), probe.timeout_s
            )
            pending.addCallback(self._platform.read_load, target)
            pending.addErrback(self._on_failure)
            # Each probe is reported, or the chooser would wait for it.
            pending.addCallback(functools.partial(self._report, probe))

    def _on_failure(self, failure: Failure) -> None:
        if failure.check(FetchError) is None:
            self._on_error("load probe", failure.value)

    def _report(self, probe: LoadProbe, reading: LoadReading | None) -> None:
        self._chooser.on_reading(probe, reading, self._pool.now())
        self._on_answer()
