"""Observation of how many requests the flows of a destination carry.

It answers two load patterns that look alike when flows open: feeds, whose
later requests go to the same upstream, and idempotent requests with a flow
each, which should only be spread by the current load.
"""

from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

from ibispitch.forwarding.packets import Destination

#: Flows that have to be observed before the result replaces what the kind of
#: the requests suggests.
MIN_OBSERVED = 8
#: Number of observed flows at which all counts are halved, so that a change
#: of the callers' habit shows after about as many flows.
MAX_OBSERVED = 64
#: Smallest share of flows with several requests at which flows count as long.
#: Some long flows end after one request, when an upstream or a data centre is
#: lost.
MIN_LONG_SHARE = 0.25
#: Maximum number of destinations that are observed; the one that was observed
#: first is dropped.
MAX_DESTINATIONS = 64
#: Maximum number of destinations in a status message, 9 bytes each.
MAX_REPORTED = 4


class Observation(NamedTuple):
    """Number of flows that carried one request, and several."""

    single: int
    several: int


class FlowReuse:
    """Counts the requests on the flows of one upstream, by destination."""

    def __init__(self):
        self._observation_by_destination: dict[Destination, Observation] = {}

    def record_flow(self, destination: Destination, is_reused: bool) -> None:
        """Record a flow, once.

        :param is_reused: whether a second request arrived on it; otherwise it
            was closed after the first one.
        """
        single, several = self._observation_by_destination.pop(
            destination, Observation(0, 0)
        )
        observation = Observation(
            single + (not is_reused), several + is_reused
        )
        if sum(observation) > MAX_OBSERVED:
            observation = Observation(*(count // 2 for count in observation))
        self._observation_by_destination[destination] = observation
        if len(self._observation_by_destination) > MAX_DESTINATIONS:
            oldest = next(iter(self._observation_by_destination))
            del self._observation_by_destination[oldest]

    def is_long(self, destination: Destination) -> bool | None:
        """Return whether the flows of a destination carry several requests.

        :returns: ``None`` if too few flows were observed.
        """
        observation = self._observation_by_destination.get(destination)
        if observation is None or sum(observation) < MIN_OBSERVED:
            return None
        return observation.several >= MIN_LONG_SHARE * sum(observation)

    def report(self) -> tuple[tuple[Destination, bool], ...]:
        """Return the results for the most recently observed destinations."""
        return tuple(islice(self._results(), MAX_REPORTED))

    def _results(self) -> Iterator[tuple[Destination, bool]]:
        for destination in reversed(self._observation_by_destination):
            is_long = self.is_long(destination)
            if is_long is not None:
                yield destination, is_long
