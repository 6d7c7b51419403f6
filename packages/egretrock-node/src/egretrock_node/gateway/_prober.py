"""Sends the load probes of the target chooser and reads their answers."""

from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure

from egretrock.coordination.probing import LoadProbe, TargetChooser
from egretrock.state.config import Target
from egretrock.state.ids import ServiceId, TargetId
from egretrock_node.gateway._ports import Platform
from egretrock_node.transport.target import (
    FetchedAnswer,
    FetchError,
    TargetPool,
)

TargetLookup = Callable[[ServiceId, TargetId], tuple[Target, str] | None]


class LoadProber:
    """Probes the load of targets on the connections that requests use.

    Args:
        chooser: Decides which targets are probed.
        pool: Connections to targets.
        platform: Decodes the answers.
        target_of: Returns a target and its health path, or None.
        on_answer: Called after each probe was answered or failed.
    """

    def __init__(
        self,
        chooser: TargetChooser,
        pool: TargetPool,
        platform: Platform,
        target_of: TargetLookup,
        on_answer: Callable[[], None],
    ) -> None:
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
            pending = self._pool.fetch(
                probe.address, path.encode(), probe.timeout_s
            )
            pending.addCallbacks(
                self._on_fetched,
                self._on_fetch_failed,
                callbackArgs=(probe, target),
                errbackArgs=(probe,),
            )

    def _on_fetched(
        self, answer: FetchedAnswer, probe: LoadProbe, target: Target
    ) -> None:
        self._report(probe, self._platform.read_load(answer, target))

    def _on_fetch_failed(self, failure: Failure, probe: LoadProbe) -> Any:
        if failure.check(FetchError) is None:
            return failure
        self._report(probe, None)
        return None

    def _report(self, probe: LoadProbe, reading: Any) -> None:
        self._chooser.on_reading(probe, reading, self._pool.now())
        self._on_answer()
