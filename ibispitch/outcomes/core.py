"""Request times and failures of one upstream.

They direct new flows to other upstreams, see :mod:`ibispitch.placement`, if
an upstream has become slow; if it resets, closes or never answers a part of
its requests while its heartbeats and health checks show no fault; or if it
fails and recovers repeatedly.

Only the transport is observed: times, resets and missing answers. Status
codes in the answers are not read.
"""

#: Weight of a new measurement in the mean request time, so that about the
#: last ten requests count.
WORK_WEIGHT = 0.1
#: Time without an answer after which the mean request time counts as
#: unknown, so that an upstream avoided for its slowness gets requests again.
WORK_KEPT_S = 5.0
#: Half-life of answers and failures in the share of failures. A fault shows
#: within a few requests, and a recovered upstream soon gets requests again.
HALF_LIFE_S = 2.0
#: Number of answers that is added to the counted ones, so that a single
#: failure does not divert new flows.
PRESUMED_ANSWERS = 4.0
#: Multiple of the latency objective after which a request without an answer
#: counts as failed. Requests wait for at most half of the objective before
#: they run.
OVERDUE_AFTER_OBJECTIVES = 2.0


class Outcomes:
    """Mean time and share of failures of an upstream's requests.

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
        """Record an answer.

        The time that the request waited in the upstream's queue is excluded,
        assuming that the upstream runs requests in order of arrival.

        :param took_s: time from the end of the request to the answer.
        :param queue_position: position of the request at the upstream on its
            arrival, from 1, running requests included.
        :param slots: requests that the upstream runs at the same time.
        :param now: time in seconds.
        """
        slots = max(1, slots)
        rounds = 1.0 + max(0, queue_position - slots) / slots
        weight = WORK_WEIGHT if self.work_s(now) else 1.0
        self._work_s += weight * (took_s / rounds - self._work_s)
        self._answered_at = now
        self._decay(now)
        self._answers += 1.0

    def record_failure(self, now: float) -> None:
        """Record a request that was reset or closed early, or is overdue."""
        self._decay(now)
        self._failures += 1.0

    def work_s(self, now: float) -> float:
        """Return the mean request time without queueing, 0 if unknown."""
        return self._work_s if now - self._answered_at < WORK_KEPT_S else 0.0

    def failure_share(self, now: float) -> float:
        """Return the share of recent requests that failed."""
        self._decay(now)
        counted = self._answers + self._failures + PRESUMED_ANSWERS
        return self._failures / counted

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._counted_at) / HALF_LIFE_S)
        self._answers *= factor
        self._failures *= factor
        self._counted_at = now
