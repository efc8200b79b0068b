"""Concurrency limit of an agent, learned from the runs at its upstream."""

import math

from ibispitch.admission.types import RunId
from ibispitch.admission.types import RunOutcome

#: Share of its slots that an upstream of unknown warmth is given.
COLD_SHARE = 0.1
#: Each restart within a ramp halves the cold share down to this value.
MIN_COLD_SHARE = 0.02
#: A success advances the ramp by the time since the one before, but by at
#: most this share of it, so that idle time does not count as warm-up.
MAX_RAMP_STEP = 0.25

#: Latency over its moving average that counts as a sign of a cold restart.
SLOW_RATIO = 3.0
#: A single request counts at most as this many averages.
MAX_RATIO = 5.0
#: Ratio at which a request neither adds to nor takes from the slow score.
NEUTRAL_RATIO = 2.0
#: Slow score that restarts the ramp when service times hardly vary.
SLOW_THRESHOLD = 3.0
#: Increase of the threshold with the squared variation of service times:
#: a heavy tail gives runs of slow requests without any cold restart.
SLOW_THRESHOLD_PER_VARIATION = 9.0
#: Completed runs after a restart before latency is judged.
MIN_SAMPLES = 8

#: Fault score that restarts the ramp.
FAULT_THRESHOLD = 3.0
FAULT_BY_OUTCOME = {
    RunOutcome.SHED: 2.0,
    RunOutcome.TIMED_OUT: 2.0,
    RunOutcome.UNREACHABLE: FAULT_THRESHOLD,
}
#: What a completed run takes from the fault score.
FAULT_DECAY = 0.5

#: Runs this many averages old without any completion mean a hang.
STALL_RATIO = 10.0
MIN_STALL_S = 1.0

STEADY_WEIGHT = 0.05
RAMP_WEIGHT = 0.2
#: Latency falls to a tenth while an upstream warms up.
RECENT_RAMP_WEIGHT = 0.5
VARIATION_WEIGHT = 0.02
#: Latency that is assumed before the first completed run.
ASSUMED_LATENCY_S = 0.1


class LatencyAverage:
    """Moving average of latency and a score of unusually slow requests.

    The average and the variation are only updated while the score is zero,
    so that an upstream that turned cold does not become the measure of
    itself.
    """

    def __init__(self):
        self.average_s = ASSUMED_LATENCY_S
        self.recent_s = ASSUMED_LATENCY_S
        self._samples = 0
        self._variation = 0.0
        self._score = 0.0

    @property
    def is_slow(self) -> bool:
        """Whether the recent requests show a cold restart."""
        threshold = (
            SLOW_THRESHOLD + SLOW_THRESHOLD_PER_VARIATION * self._variation
        )
        return self._samples >= MIN_SAMPLES and self._score >= threshold

    def restart(self) -> None:
        """Learn the average anew, as after a lasting change of latency."""
        self._samples = 0
        self._score = 0.0

    def observe(self, latency_s: float, is_ramping: bool) -> None:
        """Add the latency of a completed run."""
        self._samples += 1
        if self._samples == 1:
            self.average_s = self.recent_s = latency_s
            return
        recent_weight = RECENT_RAMP_WEIGHT if is_ramping else RAMP_WEIGHT
        self.recent_s += recent_weight * (latency_s - self.recent_s)
        ratio = min(latency_s / max(self.average_s, 1e-6), MAX_RATIO)
        if self._score == 0.0 or self._samples < MIN_SAMPLES:
            weight = RAMP_WEIGHT if is_ramping else STEADY_WEIGHT
            clipped = min(ratio, SLOW_RATIO)
            self.average_s *= 1.0 + weight * (clipped - 1.0)
            self._variation += VARIATION_WEIGHT * (
                (clipped - 1.0) ** 2 - self._variation
            )
        if self._samples >= MIN_SAMPLES:
            self._score = max(0.0, self._score + ratio - NEUTRAL_RATIO)


class ConcurrencyLimit:
    """How many requests may run at the upstream at once.

    The limit stays at a cold value until the ramp, which leads from
    nothing to the slots as runs succeed, has passed it. Refused
    connections, timeouts, 5.03 answers and slow requests restart it. What
    the upstream says of its own health is not an input.

    A limit below 1 is a duty cycle: one run at a time, then idle until
    the limit allows the next one. A cold upstream is slow; its own latency
    would stretch the cycle far beyond the limit, so it follows the latency
    of a warm upstream if that is known.

    :param slots: requests that the warm upstream runs at once.
    :param ramp_s: seconds of success from the cold value to the slots.
    :param now: start of the upstream, in seconds.

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
        #: Latency of a warm upstream in seconds, if it is known.
        self.warm_latency_s = math.inf
        self._cold_share = COLD_SHARE
        self._progress = 0.0
        self._advanced_at = now
        self._completed_at = now
        self._faults = 0.0
        self._busy_s = 0.0
        self._ended_at = now
        self._started_at_by_run: dict[RunId, float] = {}

    @property
    def value(self) -> float:
        """The limit, fractional while the upstream ramps."""
        return self.slots * max(self._cold_share, self._progress)

    @property
    def is_ramping(self) -> bool:
        """Whether the limit is below the slots."""
        return self._progress < 1.0

    @property
    def max_in_flight(self) -> int:
        """Runs that the limit allows at the same time."""
        return max(1, math.floor(self.value + 1e-9))

    def idle_s(self, now: float) -> float:
        """Return the rest of the idle time of the duty cycle, in seconds."""
        limit = self.value
        if limit >= 1.0:
            return 0.0
        warm_s = min(self._busy_s, self.warm_latency_s)
        idle_s = max(warm_s / limit - self._busy_s, self._busy_s * (1 - limit))
        return max(0.0, self._ended_at + idle_s - now)

    def may_start(self, in_flight: int, now: float) -> bool:
        """Tell whether one more run may start.

        :param in_flight: runs that hold a slot.
        """
        return in_flight < self.max_in_flight and self.idle_s(now) == 0.0

    def is_stalled(self, now: float) -> bool:
        """Tell whether runs are in flight and none has ended for long."""
        if not self._started_at_by_run:
            return False
        limit_s = max(MIN_STALL_S, STALL_RATIO * self.latency.average_s)
        # Insertion order is start order, so the first is the oldest run.
        oldest = next(iter(self._started_at_by_run.values()))
        return now - max(oldest, self._completed_at) >= limit_s

    @property
    def progress(self) -> float:
        """How far the upstream has come from its cold start, 0 to 1."""
        return self._progress

    def resume(self, progress: float, now: float) -> None:
        """Go on where a predecessor process was.

        :param progress: its :attr:`progress`.
        """
        self._progress = progress
        self._advanced_at = now

    def started(self, run_id: RunId, now: float) -> None:
        """Note that a run was sent to the upstream."""
        self._started_at_by_run[run_id] = now

    def finished(
        self, run_id: RunId, outcome: RunOutcome, latency_s: float, now: float
    ) -> None:
        """Note the end of a run that was started.

        Runs from before the last restart say nothing about the upstream of
        now and leave the ramp as it is.
        """
        was_stalled = self.is_stalled(now)
        started_at = self._started_at_by_run.pop(run_id, None)
        if started_at is None:
            return
        self._busy_s = now - started_at
        self._ended_at = now
        if outcome is RunOutcome.COMPLETED:
            self._completed_at = now
        if outcome is RunOutcome.CANCELLED or started_at < self.restarted_at:
            return
        if outcome is RunOutcome.COMPLETED:
            self._succeeded(latency_s, now)
        else:
            self._faults += FAULT_BY_OUTCOME[outcome]
            if was_stalled:
                self._faults = FAULT_THRESHOLD
        if self._faults >= FAULT_THRESHOLD or self.latency.is_slow:
            self.restart(now)

    def tick(self, now: float) -> None:
        """Restart the ramp if several runs hang.

        With one run in flight a hang cannot be told from a long request;
        then only its end counts.
        """
        if len(self._started_at_by_run) > 1 and self.is_stalled(now):
            oldest = next(iter(self._started_at_by_run.values()))
            if oldest >= self.restarted_at:
                self.restart(now)

    def restart(self, now: float) -> None:
        """Take the upstream as cold."""
        if not self.is_ramping:
            self.warm_latency_s = min(
                self.warm_latency_s, self.latency.average_s
            )
        elif self.restarts:
            self._cold_share = max(MIN_COLD_SHARE, self._cold_share / 2)
        self.restarts += 1
        self.restarted_at = now
        self._progress = 0.0
        self._advanced_at = now
        self._faults = 0.0
        self.latency.restart()

    def _succeeded(self, latency_s: float, now: float) -> None:
        self.latency.observe(latency_s, self.is_ramping)
        self._faults = max(0.0, self._faults - FAULT_DECAY)
        cycle_s = latency_s / min(1.0, self.value)
        step_s = min(
            now - self._advanced_at, max(MAX_RAMP_STEP * self.ramp_s, cycle_s)
        )
        self._advanced_at = now
        self._progress = min(1.0, self._progress + step_s / self.ramp_s)
        if not self.is_ramping:
            self._cold_share = COLD_SHARE
