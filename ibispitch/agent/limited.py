"""Admission with the limits of the owner and the class in front of it."""

from typing import Protocol

from ibispitch.admission.core import AdmissionCore
from ibispitch.admission.types import Decision
from ibispitch.admission.types import Load
from ibispitch.admission.types import Refuse
from ibispitch.admission.types import RequestInfo
from ibispitch.admission.types import RunId
from ibispitch.admission.types import RunOutcome
from ibispitch.limits.core import LimitCore

#: A refused caller returns when its owner's bucket has tokens again.
RETRY_AFTER_S = 1.0


class ServiceLabels(Protocol):
    """Owner and class of the service that is served."""

    owner: str
    class_name: str


class LimitedAdmission:
    """Implements the admission that the gate asks.

    A request counts against the limits once, when it is first decided on.
    Delegated runs and further parts of an exchange were counted before.

    :param admission: decides on slots.
    :param limits: decides on rates.
    :param labels: owner and class of the service.
    """

    def __init__(
        self,
        admission: AdmissionCore,
        limits: LimitCore,
        labels: ServiceLabels,
    ):
        self._admission = admission
        self._limits = limits
        self._labels = labels

    def set_labels(self, labels: ServiceLabels) -> None:
        """Take over owner and class of a newer entry."""
        self._labels = labels

    def decide(self, request: RequestInfo, now: float) -> Decision:
        """Decide on a run; see :meth:`AdmissionCore.decide`."""
        is_counted = request.delegated or request.exchange or request.counted
        if not is_counted and not self._limits.allow(
            self._labels.owner, self._labels.class_name, now
        ):
            return Refuse(RETRY_AFTER_S)
        return self._admission.decide(request, now)

    def record_start(self, run_id: RunId, now: float) -> None:
        """Note that the run was sent to the upstream."""
        self._admission.record_start(run_id, now)

    def record_end(
        self, run_id: RunId, outcome: RunOutcome, latency_s: float, now: float
    ) -> None:
        """Note the end of a run."""
        self._admission.record_end(run_id, outcome, latency_s, now)

    def tick(self, now: float) -> list[RunId]:
        """Return waiting runs that may start now."""
        return self._admission.tick(now)

    def load(self) -> Load:
        """Return the load to send along with a reply."""
        return self._admission.load()
