"""Search for the owner of a flow that the balancer does not know.

The fabric gives most flows to other balancers whenever one joins or leaves.
The balancer that gets a flow asks the agents of its service, then all
others. Packets of a flow never go to an agent on a guess, with one
exception: an agent that started after its upstream cannot know which flows
the upstream holds, so it may hand one packet to its upstream, which returns
it if the flow is not there.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ibispitch.fleet.core import AgentView
from ibispitch.fleet.core import Fleet
from ibispitch.forwarding.frames import Answer
from ibispitch.forwarding.frames import OwnershipAnswers
from ibispitch.forwarding.frames import Verdict
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName

#: Time that agents have for an answer: two round trips between data centres
#: and the event loops of both ends.
ANSWER_S = 0.04
#: Packets kept while a flow is searched, the window of a sender.
MAX_PACKETS = 16
#: Searches at a time. More than that is an overload, and the packets come
#: again.
MAX_SEARCHES = 4096
#: Upstreams that may be tried for one flow within ``TRIAL_WINDOW_S`` while
#: the owner's agent may be missing. Three would count as sending the flow
#: astray.
MAX_TRIALS = 2
#: Agents that are tried at a time, the nearest first, if the owner's must be
#: among those that cannot know.
MAX_BATCH = 12
#: Longer than callers and upstreams leave between repeated packets (1.6 s).
TRIAL_WINDOW_S = 2.5
#: Flows whose denials are remembered, at most.
MAX_DENIED_FLOWS = 8192
#: Time for which a flow that was not found is searched again: the longest
#: pause of a sender before it repeats a packet.
RETRY_PERIOD_S = 1.6
#: Interval of these searches. An agent that starts is known to all
#: balancers after about this time.
RETRY_INTERVAL_S = 0.1
#: Packets of such flows that are kept, at most: 5 MB.
MAX_KEPT_PACKETS = 4096


class AskAgents(NamedTuple):
    """Ask agents whether they own a flow."""

    flow: FlowKey
    acknowledged: int
    ips: tuple[str, ...]


class Found(NamedTuple):
    """The owner is known; its packets go there."""

    ip: str
    incarnation: int
    packets: tuple[Packet, ...]


class TryAgent(NamedTuple):
    """An agent may hand this packet to its upstream."""

    ip: str
    packet: Packet


class NotFound(NamedTuple):
    """All agents answered, and none has the flow."""

    packet: Packet


class Unanswered(NamedTuple):
    """The search ended without a result; it is repeated for a while."""

    flow: FlowKey
    missing: tuple[str, ...]


Step = AskAgents | Found | TryAgent | NotFound | Unanswered


class _Denials(NamedTuple):
    """Agents that have said that a flow is not theirs."""

    at: float
    ips: frozenset[str]


class _Kept(NamedTuple):
    """A flow that was not found and is searched again.

    :param due: time of the next search.
    :param until: time at which the sender repeats the packets itself.
    """

    packets: list[Packet]
    service: ServiceName | None
    due: float
    until: float


class _Search:
    __slots__ = (
        'asked',
        'deadline',
        'packets',
        'restarted',
        'service',
        'unknown',
        'until',
        'waiting',
    )  # fmt: skip

    def __init__(
        self,
        packets: list[Packet],
        service: ServiceName | None,
        until: float | None,
    ):
        self.packets = packets
        self.service = service
        #: End of the time for which it is repeated, ``None`` for a search
        #: that is not a repetition.
        self.until = until
        self.asked: set[str] = set()
        #: Agents that have not answered.
        self.waiting: set[str] = set()
        #: Agents that cannot know.
        self.unknown: list[str] = []
        #: Agents that cannot know, since they were killed a moment ago.
        self.restarted: list[str] = []
        self.deadline = 0.0

    @property
    def denied(self) -> frozenset[str]:
        """Agents that have said that the flow is not theirs."""
        return frozenset(
            self.asked - self.waiting - {*self.unknown, *self.restarted}
        )


class Locator:
    """Runs the searches of a balancer.

    :param fleet: the agents that can be asked.
    :param datacentre: the data centre of the balancer.
    """

    def __init__(self, fleet: Fleet, datacentre: DatacentreName):
        self._fleet = fleet
        self._datacentre = datacentre
        self._search_by_flow: dict[FlowKey, _Search] = {}
        self._trials_by_flow: dict[FlowKey, list[tuple[float, str]]] = {}
        #: Agents that were tried and have not handed the packet back.
        self._open_trials_by_flow: dict[FlowKey, set[str]] = {}
        #: Denials of searches that ended without a result. Packets of the
        #: flow come again, and flows never move to another upstream.
        self._denials_by_flow: dict[FlowKey, _Denials] = {}
        self._kept_by_flow: dict[FlowKey, _Kept] = {}
        self._kept_packets = 0

    def __len__(self) -> int:
        return len(self._search_by_flow)

    def search(
        self, packet: Packet, service: ServiceName | None, now: float
    ) -> list[Step]:
        """Search the owner of a packet's flow.

        :param packet: a packet that does not open its flow.
        :param service: service that the routes name for its destination.
        :param now: time in seconds.
        """
        search = self._search_by_flow.get(packet.flow)
        if search is not None:
            if len(search.packets) < MAX_PACKETS:
                search.packets.append(packet)
            return []
        kept = self._drop_kept(packet.flow)
        packets = [packet]
        if kept is not None:
            packets = [p for p in kept.packets if p.raw != packet.raw]
            packets = [*packets, packet][-MAX_PACKETS:]
        return self._begin(packets, service, None, now)

    def _begin(
        self,
        packets: list[Packet],
        service: ServiceName | None,
        until: float | None,
        now: float,
    ) -> list[Step]:
        flow = packets[0].flow
        if len(self._search_by_flow) >= MAX_SEARCHES:
            return [Unanswered(flow, ())]
        search = _Search(packets, service, until)
        self._search_by_flow[flow] = search
        denials = self._denials_by_flow.pop(flow, None)
        if denials is not None and now - denials.at < TRIAL_WINDOW_S:
            search.asked.update(denials.ips)
        views = [
            view
            for view in self._fleet.agents_of(service)
            if self._may_answer(view, now) and view.ip not in search.asked
        ]
        # Most flows are at an upstream of their caller's data centre.
        near = [v for v in views if v.status.datacentre == self._datacentre]
        return self._ask(search, [view.ip for view in near or views], now)

    def search_later(
        self,
        packets: Iterable[Packet],
        service: ServiceName | None,
        due: float,
        until: float,
    ) -> None:
        """Search the owner of a flow later, see :meth:`expire`.

        :param packets: packets of one flow, to be forwarded if it is found.
        :param due: time of the search in seconds.
        :param until: time at which it is no longer repeated.
        """
        for packet in packets:
            kept = self._kept_by_flow.get(packet.flow)
            if kept is None:
                kept = _Kept([], service, due, until)
                self._kept_by_flow[packet.flow] = kept
            if len(kept.packets) < MAX_PACKETS:
                kept.packets.append(packet)
                self._kept_packets += 1
        while self._kept_packets > MAX_KEPT_PACKETS:
            self._drop_kept(next(iter(self._kept_by_flow)))

    def _drop_kept(self, flow: FlowKey) -> _Kept | None:
        kept = self._kept_by_flow.pop(flow, None)
        if kept is not None:
            self._kept_packets -= len(kept.packets)
        return kept

    def _repeat(self, now: float) -> list[Step]:
        """Search again the flows that were not found a moment ago."""
        due = [
            (flow, kept)
            for flow, kept in self._kept_by_flow.items()
            if now >= kept.due
        ]
        steps = []
        for flow, kept in due:
            self._drop_kept(flow)
            if now < kept.until:
                steps += self._begin(
                    kept.packets, kept.service, kept.until, now
                )
        return steps

    def forget(self, flow: FlowKey) -> None:
        """Forget denials of a flow that opens now, with a used address."""
        self._denials_by_flow.pop(flow, None)
        self._drop_kept(flow)

    def receive_answers(
        self, ip: str, tell: OwnershipAnswers, now: float
    ) -> list[Step]:
        """Take in an agent's answers."""
        return [
            step
            for answer in tell.answers
            for step in self._take_answer(ip, answer, tell.incarnation, now)
        ]

    def _take_answer(
        self, ip: str, answer: Answer, incarnation: int, now: float
    ) -> list[Step]:
        search = self._search_by_flow.get(answer.flow)
        if search is None or ip not in search.waiting:
            return []
        search.waiting.discard(ip)
        if answer.verdict is Verdict.OWNED:
            del self._search_by_flow[answer.flow]
            return [Found(ip, incarnation, tuple(search.packets))]
        if answer.verdict is Verdict.UNKNOWN:
            search.unknown.append(ip)
        elif answer.verdict is Verdict.RESTARTED:
            search.restarted.append(ip)
        return [] if search.waiting else self._conclude(search, now)

    def expire(self, now: float) -> list[Step]:
        """Conclude overdue searches, and repeat those without a result."""
        overdue = [
            search
            for search in self._search_by_flow.values()
            if now >= search.deadline
        ]
        steps = [
            step for search in overdue for step in self._conclude(search, now)
        ]
        self._drop_trials(now)
        return steps + self._repeat(now)

    def _may_answer(self, view: AgentView, now: float) -> bool:
        return now - view.heard_at < self._fleet.lost_after_s(view)

    def _ask(
        self, search: _Search, ips: Iterable[str], now: float
    ) -> list[Step]:
        ips = tuple(ips)
        if not ips:
            return self._conclude(search, now)
        search.asked.update(ips)
        search.waiting.update(ips)
        search.deadline = now + ANSWER_S
        packet = search.packets[0]
        return [AskAgents(packet.flow, packet.acknowledged, ips)]

    def _conclude(self, search: _Search, now: float) -> list[Step]:
        # Agents may have been heard for the first time during the search.
        rest = [
            view
            for view in self._fleet.agents_by_ip.values()
            if view.ip not in search.asked and self._may_answer(view, now)
        ]
        first = [v for v in rest if v.status.service == search.service]
        if rest:
            return self._ask(search, [v.ip for v in first or rest], now)
        packet = search.packets[-1]
        del self._search_by_flow[packet.flow]
        self._remember_denials(packet.flow, search, now)
        if search.unknown or search.restarted:
            return self._try(search, packet, now)
        if search.waiting or not search.asked:
            return self._keep_search(search, tuple(search.waiting), now)
        return [NotFound(packet)]

    def _keep_search(
        self, search: _Search, missing: tuple[str, ...], now: float
    ) -> list[Step]:
        """Repeat a search that ended without a result."""
        is_first = search.until is None
        until = now + RETRY_PERIOD_S if is_first else search.until
        self.search_later(
            search.packets, search.service, now + RETRY_INTERVAL_S, until
        )
        flow = search.packets[0].flow
        return [Unanswered(flow, missing)] if is_first else []

    def _remember_denials(
        self, flow: FlowKey, search: _Search, now: float
    ) -> None:
        denied = search.denied
        if not denied:
            return
        denials = self._denials_by_flow
        denials[flow] = _Denials(now, denied)
        while denials and (
            len(denials) > MAX_DENIED_FLOWS
            or now - next(iter(denials.values())).at >= TRIAL_WINDOW_S
        ):
            del denials[next(iter(denials))]

    def _try(self, search: _Search, packet: Packet, now: float) -> list[Step]:
        trials = self._trials_by_flow.setdefault(packet.flow, [])
        recent = sum(now - at < TRIAL_WINDOW_S for at, _ in trials)
        tried = {ip for _, ip in trials}
        is_complete = (
            not search.waiting and not self._fleet.has_unheard_agents(now)
        )
        unknown = [ip for ip in search.unknown if ip not in tried]
        # If all agents have answered, the owner's is among the unknown ones.
        most = MAX_BATCH if is_complete else max(0, MAX_TRIALS - recent)
        restarted = [ip for ip in search.restarted if ip not in tried]
        chosen = sorted(restarted + unknown[:most], key=self._is_remote)[
            :MAX_BATCH
        ]
        if not chosen:
            missing = (*search.unknown, *search.restarted)
            return self._keep_search(search, missing, now)
        trials.extend((now, ip) for ip in chosen)
        self._open_trials_by_flow[packet.flow] = set(chosen)
        # The owner knows the flow once its upstream has answered.
        self._keep_search(search, (), now)
        return [TryAgent(ip, packet) for ip in chosen]

    def _is_remote(self, ip: str) -> bool:
        view = self._fleet.agents_by_ip.get(ip)
        return view is None or view.status.datacentre != self._datacentre

    def receive_denial(
        self, ip: str, packet: Packet, service: ServiceName | None, now: float
    ) -> list[Step]:
        """Take in that a trial showed that the flow is not there.

        The search goes on when the last of the agents has answered.
        """
        left = self._open_trials_by_flow.get(packet.flow)
        if left is None or ip not in left:
            return []
        left.discard(ip)
        if left:
            return []
        del self._open_trials_by_flow[packet.flow]
        return self.search(packet, service, now)

    def _drop_trials(self, now: float) -> None:
        if self._trials_by_flow:
            self._trials_by_flow = {
                flow: trials
                for flow, trials in self._trials_by_flow.items()
                if trials and now - trials[-1][0] < 2 * TRIAL_WINDOW_S
            }
            self._open_trials_by_flow = {
                flow: left
                for flow, left in self._open_trials_by_flow.items()
                if flow in self._trials_by_flow
            }
