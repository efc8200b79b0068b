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
from ibispitch.fleet.core import LOST_S
from ibispitch.fleet.core import RESTART_S
from ibispitch.fleet.messages import AgentState
from ibispitch.forwarding.frames import Tell
from ibispitch.forwarding.frames import Verdict
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.ids import ServiceName

#: Time that agents have for an answer: two round trips between data centres
#: and the event loops of both ends.
ANSWER_S = 0.04
#: Packets kept while a flow is searched, the window of a sender.
MAX_PACKETS = 16
#: Searches at a time. More than that is an overload, and the packets come
#: again.
MAX_SEARCHES = 4096
#: Upstreams that may be tried for one flow within ``TRIAL_WINDOW_S``. Three
#: would count as sending the flow astray.
MAX_TRIALS = 2
#: Longer than callers and upstreams leave between repeated packets (1.6 s).
TRIAL_WINDOW_S = 2.5


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


class Nowhere(NamedTuple):
    """All agents answered, and none has the flow."""

    packet: Packet


class Unanswered(NamedTuple):
    """The search ended without a result; the packets are dropped."""

    flow: FlowKey
    missing: tuple[str, ...]


Step = AskAgents | Found | TryAgent | Nowhere | Unanswered


class _Search:
    __slots__ = (
        'asked', 'deadline', 'is_wide', 'packets', 'service', 'unknown',
        'waiting',
    )  # fmt: skip

    def __init__(self, packet: Packet, service: ServiceName | None):
        self.packets = [packet]
        self.service = service
        self.asked: set[str] = set()
        #: Agents that have not answered.
        self.waiting: set[str] = set()
        #: Agents that cannot know.
        self.unknown: list[str] = []
        self.is_wide = False
        self.deadline = 0.0


class Locator:
    """Runs the searches of a balancer.

    :param fleet: the agents that can be asked.
    """

    def __init__(self, fleet: Fleet):
        self._fleet = fleet
        self._search_by_flow: dict[FlowKey, _Search] = {}
        self._trials_by_flow: dict[FlowKey, list[tuple[float, str]]] = {}

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
        if len(self._search_by_flow) >= MAX_SEARCHES:
            return [Unanswered(packet.flow, ())]
        search = _Search(packet, service)
        self._search_by_flow[packet.flow] = search
        first = self._fleet.agents_of(service) if service else ()
        return self._ask(
            search, [v.ip for v in first if self._may_answer(v, now)], now
        )

    def tell(self, ip: str, tell: Tell, now: float) -> list[Step]:
        """Take in an agent's answer."""
        search = self._search_by_flow.get(tell.flow)
        if search is None or ip not in search.waiting:
            return []
        search.waiting.discard(ip)
        if tell.verdict is Verdict.OWNED:
            del self._search_by_flow[tell.flow]
            return [Found(ip, tell.incarnation, tuple(search.packets))]
        if tell.verdict is Verdict.UNKNOWN:
            search.unknown.append(ip)
        return [] if search.waiting else self._conclude(search, now)

    def expire(self, now: float) -> list[Step]:
        """Conclude the searches whose answers are overdue."""
        overdue = [
            search
            for search in self._search_by_flow.values()
            if now >= search.deadline
        ]
        steps = [
            step for search in overdue for step in self._conclude(search, now)
        ]
        self._drop_trials(now)
        return steps

    @staticmethod
    def _may_answer(view: AgentView, now: float) -> bool:
        is_back_soon = view.status.state is AgentState.RESTARTING
        limit = RESTART_S if is_back_soon else LOST_S
        return now - view.heard_at < limit

    def _ask(
        self, search: _Search, ips: Iterable[str], now: float
    ) -> list[Step]:
        ips = tuple(ip for ip in ips if ip not in search.asked)
        if not ips:
            return self._conclude(search, now)
        search.asked.update(ips)
        search.waiting.update(ips)
        search.deadline = now + ANSWER_S
        packet = search.packets[0]
        return [AskAgents(packet.flow, packet.acknowledged, ips)]

    def _conclude(self, search: _Search, now: float) -> list[Step]:
        if not search.is_wide:
            search.is_wide = True
            views = self._fleet.agents_by_ip.values()
            return self._ask(
                search, [v.ip for v in views if self._may_answer(v, now)], now
            )
        packet = search.packets[-1]
        del self._search_by_flow[packet.flow]
        if search.unknown:
            return self._try(search, packet, now)
        if search.waiting or not search.asked:
            return [Unanswered(packet.flow, tuple(search.waiting))]
        return [Nowhere(packet)]

    def _try(self, search: _Search, packet: Packet, now: float) -> list[Step]:
        trials = self._trials_by_flow.setdefault(packet.flow, [])
        recent = [t for t in trials if now - t[0] < TRIAL_WINDOW_S]
        tried = {ip for _, ip in trials}
        fresh = [ip for ip in search.unknown if ip not in tried]
        chosen = fresh[: MAX_TRIALS - len(recent)]
        trials.extend((now, ip) for ip in chosen)
        if not chosen:
            return [Unanswered(packet.flow, tuple(search.unknown))]
        return [TryAgent(ip, packet) for ip in chosen]

    def _drop_trials(self, now: float) -> None:
        if self._trials_by_flow:
            self._trials_by_flow = {
                flow: trials
                for flow, trials in self._trials_by_flow.items()
                if now - trials[-1][0] < 2 * TRIAL_WINDOW_S
            }
