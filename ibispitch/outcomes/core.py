"""How the requests of one upstream end.

Answers these load patterns: an upstream that has turned slow, one that
resets, cuts off or never answers a part of its requests while its heartbeat
and its health check say that it is well, and one that goes down and comes
back by turns. New flows go to others then, see :mod:`ibispitch.placement`.

Only what the transport shows is judged: times, resets and silence. The
status codes in the answers are the callers' business.
"""

#: Weight of a new measurement in the mean time of a request: about the last
#: ten requests count.
WORK_WEIGHT = 0.1
#: Time without an answer after which the mean time is no longer known. An
#: upstream that was avoided for its slowness is tried again then.
WORK_KEPT_S = 5.0
#: Time after which an outcome counts for half: a fault shows within a few
#: requests, and an upstream that has recovered is tried again soon.
HALF_LIFE_S = 2.0
#: Requests that are presumed to have been answered, so that one failure
#: alone does not turn the flows away.
PRESUMED_ANSWERS = 4.0
#: Multiple of the objective after which a request without an answer counts
#: as failed. Requests wait for half of it at most before they run.
OVERDUE_AFTER_OBJECTIVES = 2.0


class Outcomes:
    """Mean time and failures of an upstream's requests.

    >>> outcomes = Outcomes()
    >>> outcomes.record_answer(took_s=0.06, queue_position=4, slots=2, now=0.0)
    >>> outcomes.work_s(now=0.1)
    0.03
    >>> outcomes.failure_share(now=0.1)
    0.0
    """

    def __init__(self):
        self._work_s = 0.0
        self._answered_at = 0.0
        self._answers = 0.0
        self._failures = 0.0
        self._counted_at = 0.0

    def record_answer(
        self, took_s: float, queue_position: int, slots: int, now: float
    ) -> None:
        """Take in an answer.

        An upstream takes its requests in the order in which they come.

        :param took_s: time from the end of the request to the answer.
        :param queue_position: position of the request in the upstream's
            queue when it arrived.
        :param slots: requests that the upstream runs at a time.
        """
        slots = max(1, slots)
        turns = 1.0 + max(0, queue_position - slots) / slots
        weight = WORK_WEIGHT if self.work_s(now) else 1.0
        self._work_s += weight * (took_s / turns - self._work_s)
        self._answered_at = now
        self._decay(now)
        self._answers += 1.0

    def record_failure(self, now: float) -> None:
        """Take in a request that was broken off or is overdue."""
        self._decay(now)
        self._failures += 1.0

    def work_s(self, now: float) -> float:
        """Return the mean time of a request, queue excluded, 0 if unknown."""
        return self._work_s if now - self._answered_at < WORK_KEPT_S else 0.0

    def failure_share(self, now: float) -> float:
        """Return the share of requests that fail, by the latest ones."""
        self._decay(now)
        counted = self._answers + self._failures + PRESUMED_ANSWERS
        return self._failures / counted

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._counted_at) / HALF_LIFE_S)
        self._answers *= factor
        self._failures *= factor
        self._counted_at = now
