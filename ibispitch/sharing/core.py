"""Fair shares of the callers of a service.

It is designed for one caller, or the callers of one network, that send many
times the load of the others while capacity is scarce. Served by age alone,
each caller gets places in proportion to what it asks for, so that the others
fail along with the one that causes the load. The shares are weighted max-min
fair: a caller that asks for less than its share gets all of it, and the rest
is divided among the others by weight.

The state is local to a process and lost with it. Balancers see about the
same part of each caller's load, so that shares computed by each of them on
its own are fair together. After a restart all counts are 0, and the share of
each caller is one opening until the counts have grown.
"""

from collections import defaultdict
from collections import OrderedDict
from collections.abc import Iterable
import ipaddress
import math
from typing import NewType

from ibispitch.ids import ServiceName
from ibispitch.settings.overload import Mode
from ibispitch.settings.overload import SharingSettings
from ibispitch.sharing.division import Claim
from ibispitch.sharing.division import level_below_caps

#: IP address of a caller.
CallerIp = NewType('CallerIp', str)

#: A caller without activity for this number of half-lives is forgotten. One
#: opening counts 1/32 by then.
MAX_IDLE_HALF_LIVES = 5.0
#: Age in seconds from which the shares are computed again, for each remembered
#: caller: 0.1 s for 4,096 callers, for which computing takes 4.6 ms.
SHARES_MAX_AGE_PER_CALLER_S = 25e-6
#: Smallest such age, half a tick.
MIN_SHARES_MAX_AGE_S = 0.01
#: Smallest share in openings. With more callers than places, the computed
#: share is a fraction of an opening, and each caller that got one would
#: otherwise be above it.
MIN_SHARE_OPENINGS = 1.0
#: Relative difference up to which a count equals the share, for rounding.
ROUNDING = 1e-6


class CallerWeights:
    """Weights of callers by network.

    >>> weights = CallerWeights([('10.0.0.0/8', 2.0), ('10.1.0.0/16', 8.0)])
    >>> [weights.get(ip) for ip in ('10.1.0.1', '10.2.0.1', '11.0.0.1')]
    [8.0, 2.0, 1.0]

    :param weight_by_network: networks in CIDR notation with their weights.
        The longest network that contains an address applies.
    :raises ValueError: if a network is malformed or a weight not positive.
    """

    def __init__(self, weight_by_network: Iterable[tuple[str, float]]):
        self._weight_by_network = {
            ipaddress.ip_network(network): weight
            for network, weight in weight_by_network
        }
        for network, weight in self._weight_by_network.items():
            if not 0.0 < weight < math.inf:
                raise ValueError(
                    f'sharing.weight_by_network: weight {weight} of {network}'
                    ' is not a positive number; set one above 0'
                )
        self._prefix_lengths = sorted(
            {network.prefixlen for network in self._weight_by_network},
            reverse=True,
        )

    def get(self, caller: CallerIp) -> float:
        """Return the weight of a caller, 1 if no network contains it."""
        if not self._prefix_lengths:
            return 1.0
        address = ipaddress.ip_address(caller)
        networks = (
            ipaddress.ip_network((address, length), strict=False)
            for length in self._prefix_lengths
            if length <= address.max_prefixlen
        )
        return next(
            (
                self._weight_by_network[network]
                for network in networks
                if network in self._weight_by_network
            ),
            1.0,
        )


class _Account:
    """Decayed counts of the openings of a caller."""

    __slots__ = ('active_at', 'at', 'given', 'unmet', 'weight')

    def __init__(self, weight: float, now: float):
        self.weight = weight
        self.active_at = now
        #: Time to which the counts are decayed.
        self.at = now
        #: Openings that the caller was given.
        self.given = 0.0
        #: Openings that waited and were not given.
        self.unmet = 0.0

    def decay(self, half_life_s: float, now: float) -> None:
        """Reduce the counts by the time that has passed."""
        if now > self.at:
            factor = 2.0 ** ((self.at - now) / half_life_s)
            self.given *= factor
            self.unmet *= factor
            self.at = now


class CallerShares:
    """Counts what callers get, and tells which are above their share.

    >>> shares = CallerShares(SharingSettings())
    >>> for _ in range(20):
    ...     shares.record_given('counter', '100.64.0.1', 0.0)
    >>> for caller in ('100.64.0.1', '100.64.0.2'):
    ...     shares.record_waiting('counter', caller, 0.0)
    >>> shares.is_above_share('counter', '100.64.0.1', 0.0)
    True
    >>> shares.is_above_share('counter', '100.64.0.2', 0.0)
    False

    :param settings: the section on sharing. ``ON`` and ``AUTO`` are the same,
        as shares are used only for openings that wait.
    """

    def __init__(self, settings: SharingSettings):
        self._half_life_s = settings.half_life_s
        self._max_callers = settings.callers
        self._weights = CallerWeights(settings.weight_by_network)
        #: Least recently active callers first.
        self._account_by_caller: OrderedDict[
            tuple[ServiceName | None, CallerIp], _Account
        ] = OrderedDict()
        self._level_by_service: dict[ServiceName | None, float] = {}
        self._computed_at = -math.inf
        #: Number of times that a waiting opening was put behind others
        #: because its caller is above its share.
        self.deferred_count = 0

    @property
    def caller_count(self) -> int:
        """Number of callers that are remembered."""
        return len(self._account_by_caller)

    def record_given(
        self,
        service: ServiceName | None,
        caller: CallerIp,
        now: float,
        has_waited: bool = False,
    ) -> None:
        """Count an opening that the caller was given.

        :param service: service of the opening.
        :param caller: the caller.
        :param now: time in seconds.
        :param has_waited: whether the opening was recorded as waiting.
        """
        account = self._use_account(service, caller, now)
        account.given += 1.0
        if has_waited:
            account.unmet = max(0.0, account.unmet - 1.0)

    def record_returned(
        self, service: ServiceName | None, caller: CallerIp, now: float
    ) -> None:
        """Count an opening that was given, and was handed back, as waiting."""
        account = self._use_account(service, caller, now)
        account.given = max(0.0, account.given - 1.0)
        account.unmet += 1.0

    def record_waiting(
        self, service: ServiceName | None, caller: CallerIp, now: float
    ) -> None:
        """Count an opening of the caller that begins to wait."""
        self._use_account(service, caller, now).unmet += 1.0

    def is_above_share(
        self,
        service: ServiceName | None,
        caller: CallerIp,
        now: float,
        ahead: int = 0,
    ) -> bool:
        """Return whether a caller has got more than its fair share.

        :param service: the service.
        :param caller: the caller.
        :param now: time in seconds.
        :param ahead: number of the caller's waiting openings that go first,
            counted as given.
        """
        self._refresh(now)
        account = self._account_by_caller.get((service, caller))
        if account is None:
            return ahead > MIN_SHARE_OPENINGS
        account.decay(self._half_life_s, now)
        level = self._level_by_service.get(service, 0.0)
        share = max(MIN_SHARE_OPENINGS, level * account.weight)
        return account.given + ahead > share * (1.0 + ROUNDING)

    def _use_account(
        self, service: ServiceName | None, caller: CallerIp, now: float
    ) -> _Account:
        """Return the account of a caller that is active now."""
        key = service, caller
        account = self._account_by_caller.get(key)
        if account is None:
            account = _Account(self._weights.get(caller), now)
            self._account_by_caller[key] = account
        else:
            account.decay(self._half_life_s, now)
            self._account_by_caller.move_to_end(key)
            account.active_at = now
        self._forget_idle(now)
        if len(self._account_by_caller) > self._max_callers:
            self._account_by_caller.popitem(last=False)
        return account

    def _forget_idle(self, now: float) -> None:
        active_since = now - MAX_IDLE_HALF_LIVES * self._half_life_s
        while self._account_by_caller:
            oldest = next(iter(self._account_by_caller.values()))
            if oldest.active_at >= active_since:
                break
            self._account_by_caller.popitem(last=False)

    def _refresh(self, now: float) -> None:
        """Compute the shares again if they are out of date."""
        max_age_s = max(
            MIN_SHARES_MAX_AGE_S,
            SHARES_MAX_AGE_PER_CALLER_S * len(self._account_by_caller),
        )
        if 0.0 <= now - self._computed_at < max_age_s:
            return
        self._computed_at = now
        self._forget_idle(now)
        total_by_service: dict[ServiceName | None, float] = defaultdict(float)
        claims_by_service: dict[ServiceName | None, list[Claim]] = defaultdict(
            list
        )
        for (service, _), account in self._account_by_caller.items():
            account.decay(self._half_life_s, now)
            total_by_service[service] += account.given
            claims_by_service[service].append(
                Claim(account.weight, account.given + account.unmet)
            )
        self._level_by_service = {
            service: self._level(total_by_service[service], claims)
            for service, claims in claims_by_service.items()
        }

    @staticmethod
    def _level(total: float, claims: Iterable[Claim]) -> float:
        return level_below_caps(total, claims)


def shares_of(settings: SharingSettings) -> CallerShares | None:
    """Return the shares for a process, ``None`` if sharing is off."""
    return None if settings.mode is Mode.OFF else CallerShares(settings)
