"""Adaptive concurrency limit, from the results of runs at the upstream."""

import math

from ibispitch.admission.types import RunId
from ibispitch.admission.types import RunOutcome

#: Share of the slots that an upstream gets while it may be cold, that is,
#: started or restarted recently and therefore slow.
COLD_SHARE = 0.1
#: Each restart within a ramp halves the cold share, down to this value.
MIN_COLD_SHARE = 0.02
#: A successful run advances the ramp by the time since the previous success,
#: but by at most this share of the ramp, so that idle time does not count as
#: warm-up.
MAX_RAMP_STEP = 0.25

#: Ratio of latency to its moving average that indicates a cold restart.
SLOW_RATIO = 3.0
#: Cap on the ratio of a single request.
MAX_COUNTED_RATIO = 5.0
#: Ratio at which a request leaves the slow score unchanged.
NEUTRAL_RATIO = 2.0
#: Slow score at which the ramp restarts if service times hardly vary.
SLOW_SCORE_THRESHOLD = 3.0
#: Increase of the threshold per squared variation of service times. With a
#: heavy tail, several slow requests in a row occur without a cold restart.
SLOW_SCORE_THRESHOLD_PER_VARIATION = 9.0
#: Completed runs after a restart before the slow score is used.
MIN_SAMPLES = 8

#: Fault score at which the ramp restarts.
FAULT_SCORE_THRESHOLD = 3.0
FAULT_SCORE_BY_OUTCOME = {
    RunOutcome.SHED: 2.0,
    RunOutcome.TIMED_OUT: 2.0,
    RunOutcome.UNREACHABLE: FAULT_SCORE_THRESHOLD,
}
#: Amount by which a completed run lowers the fault score.
FAULT_SCORE_DECAY = 0.5

#: The upstream counts as stalled if its oldest run has taken this many
#: average latencies and no run has completed in that time.
STALL_RATIO = 10.0
MIN_STALL_S = 1.0

STEADY_AVERAGE_WEIGHT = 0.05
RAMP_AVERAGE_WEIGHT = 0.2
#: The latency of an upstream falls to a tenth while it warms up, so the
#: recent average must follow quickly.
RECENT_AVERAGE_RAMP_WEIGHT = 0.5
VARIATION_WEIGHT = 0.02
#: Latency assumed before the first run completes.
ASSUMED_LATENCY_S = 0.1


class LatencyAverage:
    """Moving average of latency, and a score of unusually slow requests.

    The average and the variation are only updated while the score is zero.
    Otherwise the latency of a cold upstream would raise the average that it
    is compared with.
    """

    def __init__(self):
        self.average_s = ASSUMED_LATENCY_S
        self.recent_average_s = ASSUMED_LATENCY_S
        self._sample_count = 0
        self._variation = 0.0
        self._slow_score = 0.0

    @property
    def is_slow(self) -> bool:
        """Whether recent requests show that the upstream is cold."""
        threshold = (
            SLOW_SCORE_THRESHOLD
            + SLOW_SCORE_THRESHOLD_PER_VARIATION * self._variation
        )
        return (
            self._sample_count >= MIN_SAMPLES and self._slow_score >= threshold
        )

    def reset(self) -> None:
        """Start a new average, as the latency may have changed for good."""
        self._sample_count = 0
        self._slow_score = 0.0

    def record(self, latency_s: float, is_ramping: bool) -> None:
        """Add the latency of a completed run."""
        self._sample_count += 1
        if self._sample_count == 1:
            self.average_s = self.recent_average_s = latency_s
            return
        recent_weight = (
            RECENT_AVERAGE_RAMP_WEIGHT if is_ramping else RAMP_AVERAGE_WEIGHT
        )
        self.recent_average_s += recent_weight * (
            latency_s - self.recent_average_s
        )
        ratio = min(latency_s / max(self.average_s, 1e-6), MAX_COUNTED_RATIO)
        if self._slow_score == 0.0 or self._sample_count < MIN_SAMPLES:
            weight = (
                RAMP_AVERAGE_WEIGHT if is_ramping else STEADY_AVERAGE_WEIGHT
            )
            clipped = min(ratio, SLOW_RATIO)
            self.average_s *= 1.0 + weight * (clipped - 1.0)
            self._variation += VARIATION_WEIGHT * (
                (clipped - 1.0) ** 2 - self._variation
            )
        if self._sample_count >= MIN_SAMPLES:
            self._slow_score = max(
                0.0, self._slow_score + ratio - NEUTRAL_RATIO
            )


class ConcurrencyLimit:
    """Number of requests that may run at the upstream at the same time.

    The ramp grows from zero to the number of slots as runs succeed. The
    limit is the larger of the ramp and the cold share of the slots. Refused
    connections, timeouts, 5.03 answers and slow requests restart the ramp.
    The health that the upstream reports is not used.

    A limit below 1 is a duty cycle: one run at a time, followed by an idle
    time. A cold upstream is slow, so a cycle based on its own latency would
    be far longer than the limit requires. The cycle is therefore based on
    the latency of a warm upstream, if that is known.

    :param slots: requests that a warm upstream can run at the same time.
    :param ramp_s: seconds of successful runs until the ramp is complete.
    :param now: start time of the upstream, in seconds.

    >>> limit = ConcurrencyLimit(slots=5, ramp_s=10.0, now=0.0)
    >>> limit.value
    0.5
    """

    def __init__(self, slots: int, ramp_s: float, now: float):
        self.slots = slots
        self.ramp_s = ramp_s
        self.restarts = 0
        self.restarted_at = now
        self.latency = LatencyAverage()
        #: Latency of a warm upstream in seconds, infinite if unknown.
        self.warm_latency_s = math.inf
        self._cold_share = COLD_SHARE
        self._progress = 0.0
        self._last_advance_at = now
        self._last_completion_at = now
        self._fault_score = 0.0
        self._last_run_s = 0.0
        self._last_end_at = now
        self._started_at_by_run: dict[RunId, float] = {}

    @property
    def value(self) -> float:
        """The limit, which may be fractional during the ramp."""
        return self.slots * max(self._cold_share, self._progress)

    @property
    def is_ramping(self) -> bool:
        """Whether the ramp is not complete yet."""
        return self._progress < 1.0

    @property
    def max_in_flight(self) -> int:
        """The limit as a whole number of runs, at least 1."""
        return max(1, math.floor(self.value + 1e-9))

    def idle_s(self, now: float) -> float:
        """Return the remaining idle time of the duty cycle, in seconds."""
        limit = self.value
        if limit >= 1.0:
            return 0.0
        warm_s = min(self._last_run_s, self.warm_latency_s)
        idle_s = max(
            warm_s / limit - self._last_run_s, self._last_run_s * (1 - limit)
        )
        return max(0.0, self._last_end_at + idle_s - now)

    def may_start(self, in_flight: int, now: float) -> bool:
        """Return whether one more run may start.

        :param in_flight: runs that occupy a slot.
        """
        return in_flight < self.max_in_flight and self.idle_s(now) == 0.0

    def is_stalled(self, now: float) -> bool:
        """Return whether runs are in flight and none has completed lately."""
        if not self._started_at_by_run:
            return False
        limit_s = max(MIN_STALL_S, STALL_RATIO * self.latency.average_s)
        # The dictionary is ordered by start, so the first run is the oldest.
        oldest = next(iter(self._started_at_by_run.values()))
        return now - max(oldest, self._last_completion_at) >= limit_s

    @property
    def progress(self) -> float:
        """Position in the ramp, from 0 (cold) to 1 (complete)."""
        return self._progress

    def resume(self, progress: float, now: float) -> None:
        """Continue the ramp of a predecessor process.

        :param progress: the predecessor's :attr:`progress`.
        """
        self._progress = progress
        self._last_advance_at = now

    def record_start(self, run_id: RunId, now: float) -> None:
        """Record that a run was sent to the upstream."""
        self._started_at_by_run[run_id] = now

    def record_end(
        self, run_id: RunId, outcome: RunOutcome, latency_s: float, now: float
    ) -> None:
        """Record the end of a run.

        Runs that started before the last restart of the ramp do not affect
        the ramp, as they do not show how the upstream performs now.
        """
        was_stalled = self.is_stalled(now)
        started_at = self._started_at_by_run.pop(run_id, None)
        if started_at is None:
            return
        self._last_run_s = now - started_at
        self._last_end_at = now
        if outcome is RunOutcome.COMPLETED:
            self._last_completion_at = now
        if outcome is RunOutcome.CANCELLED or started_at < self.restarted_at:
            return
        if outcome is RunOutcome.COMPLETED:
            self._record_success(latency_s, now)
        else:
            self._fault_score += FAULT_SCORE_BY_OUTCOME[outcome]
            if was_stalled:
                self._fault_score = FAULT_SCORE_THRESHOLD
        if self._fault_score >= FAULT_SCORE_THRESHOLD or self.latency.is_slow:
            self.restart(now)

    def tick(self, now: float) -> None:
        """Restart the ramp if several runs are in flight and stalled.

        With only one run in flight, a stall cannot be distinguished from a
        long request, so the ramp is not restarted before that run ends.
        """
        if len(self._started_at_by_run) > 1 and self.is_stalled(now):
            oldest = next(iter(self._started_at_by_run.values()))
            if oldest >= self.restarted_at:
                self.restart(now)

    def restart(self, now: float) -> None:
        """Restart the ramp, as the upstream may be cold."""
        if not self.is_ramping:
            self.warm_latency_s = min(
                self.warm_latency_s, self.latency.average_s
            )
        elif self.restarts:
            self._cold_share = max(MIN_COLD_SHARE, self._cold_share / 2)
        self.restarts += 1
        self.restarted_at = now
        self._progress = 0.0
        self._last_advance_at = now
        self._fault_score = 0.0
        self.latency.reset()

    def _record_success(self, latency_s: float, now: float) -> None:
        self.latency.record(latency_s, self.is_ramping)
        self._fault_score = max(0.0, self._fault_score - FAULT_SCORE_DECAY)
        cycle_s = latency_s / min(1.0, self.value)
        step_s = min(
            now - self._last_advance_at,
            max(MAX_RAMP_STEP * self.ramp_s, cycle_s),
        )
        self._last_advance_at = now
        self._progress = min(1.0, self._progress + step_s / self.ramp_s)
        if not self.is_ramping:
            self._cold_share = COLD_SHARE
