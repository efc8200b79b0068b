"""Load of a data centre over a second, for flows that stay for longer.

It is designed for data centres with a dozen upstreams of one slot, where the
number of busy slots varies by half within milliseconds. Compared with the
load of that moment, one long flow in seven went to another data centre in
calm time, and all its later requests crossed.
"""

import math

#: Time constant: a few request times, so that only lasting load counts, and
#: less than the time in which long flows bring a new load about.
SMOOTHING_S = 1.0


class SmoothedLoad:
    """Exponentially smoothed load; samples may come at any times.

    >>> load = SmoothedLoad()
    >>> load.update(0.4, now=0.0)
    0.4
    >>> round(load.update(1.4, now=0.1), 2)
    0.5
    """

    def __init__(self):
        self._value = 0.0
        self._updated_at = -math.inf

    def update(self, load: float, now: float) -> float:
        """Add a sample.

        :param load: present load, in requests per slot.
        :param now: time in seconds.
        :returns: the smoothed load.
        """
        age_s = max(0.0, now - self._updated_at)
        self._value += (load - self._value) * -math.expm1(-age_s / SMOOTHING_S)
        self._updated_at = now
        return self._value
