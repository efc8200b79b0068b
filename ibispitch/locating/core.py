"""Search for the owner of a flow that is unknown to the balancer.

Whenever a balancer joins or leaves, the fabric sends most flows to other
balancers than before. A balancer that receives a packet of an unknown flow
asks the agents of its service in its data centre and the other balancers
there, which may have forwarded the flow until then. Agents of other data
centres are asked if nobody near knows the flow. It does not forward packets to
an agent that may not own the flow, with one exception, a trial: an agent that
started after its upstream does not know which flows the upstream holds, so it
may hand one packet to its upstream, which hands it back if it does not hold
the flow. Agents near the balancer are tried before those far away are asked:
they hold most of its flows. Of those far away the few that placement prefers
for the flow are asked first.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ibispitch.fleet.core import AgentView
from ibispitch.fleet.core import Fleet
from ibispitch.fleet.known import KnownFleet
from ibispitch.fleet.messages import AgentState
from ibispitch.forwarding.frames import Answer
from ibispitch.forwarding.frames import KnownOwners
from ibispitch.forwarding.frames import number_ip
from ibispitch.forwarding.frames import OwnershipAnswers
from ibispitch.forwarding.frames import Verdict
from ibispitch.forwarding.packets import FlowKey
from ibispitch.forwarding.packets import Packet
from ibispitch.ids import DatacentreName
from ibispitch.ids import ServiceName
from ibispitch.placement.preference import by_preference

#: Time within which agents must answer: two round trips between data centres
#: and the delay of the event loops at both ends.
ANSWER_TIMEOUT_S = 0.04
#: Maximum number of packets kept during the search of a flow, the window of a
#: sender.
MAX_PACKETS = 16
#: Maximum number of concurrent searches. Beyond it, under overload, packets
#: are dropped, and their senders repeat them.
MAX_SEARCHES = 4096
#: Maximum number of trials of one flow within ``TRIAL_WINDOW_S`` while its
#: owner may be an agent that has not answered. Packets at three wrong
#: upstreams would count as misrouting the flow, and its packets may reach two
#: balancers in this time. Trials at agents that answered ``RESTARTED`` are
#: counted, but only ``MAX_TRIAL_BATCH`` limits them unless the owner may be an
#: agent that was stopped as planned.
MAX_TRIALS = 1
#: Maximum number of agents tried at the same time, near and preferred ones
#: first: they most often include the owner of a long flow. Once all agents
#: have answered, it applies instead of ``MAX_TRIALS``, because the owner is
#: then one of those that answered ``UNKNOWN`` or ``RESTARTED``.
MAX_TRIAL_BATCH = 12
#: Window in which trials are counted; longer than the longest interval
#: between repeated packets of callers and upstreams (1.6 s).
TRIAL_WINDOW_S = 2.5
#: Time after a trial for which other agents are not asked while a tried one
#: has not handed the packet back. Its upstream may have nothing to answer, or
#: it holds the flow and answers a packet that comes a round trip later.
TRIAL_ANSWER_S = 0.3
#: Maximum number of flows whose denials are remembered.
MAX_DENIED_FLOWS = 8192
#: Time for which the search of a flow is retried: the longest interval after
#: which a sender repeats a packet.
RETRY_PERIOD_S = 1.6
#: Interval of the retries. A starting agent becomes known to all balancers
#: in about this time.
RETRY_INTERVAL_S = 0.1
#: Maximum number of other balancers that are asked for the owner of a flow.
#: In a larger data centre the flow may come from one that is not asked.
MAX_ASKED_BALANCERS = 16
#: Number of agents in other data centres that are asked before all others
#: there. Placement prefers them, so most of the flows there are theirs.
MAX_PREFERRED = 4
#: Maximum number of packets that are kept for scheduled searches, 5 MB.
MAX_SCHEDULED_PACKETS = 4096


class AskOwner(NamedTuple):
    """Step that asks agents and other balancers for the owner of a flow."""

    flow: FlowKey
    acknowledged: int
    ips: tuple[str, ...]


class Found(NamedTuple):
    """Step that forwards the packets of a flow to its owner."""

    ip: str
    incarnation: int
    packets: tuple[Packet, ...]


class TryAgent(NamedTuple):
    """Step that sends a packet to an agent as a trial."""

    ip: str
    packet: Packet


class NotFound(NamedTuple):
    """Result of a search that all agents answered, none as the owner.

    :param denied: number of these agents.
    """

    packet: Packet
    denied: int


class Unanswered(NamedTuple):
    """A search without a result, which is retried for ``RETRY_PERIOD_S``.

    :param missing: agents that have not answered or do not know.
    """

    flow: FlowKey
    missing: tuple[str, ...]


Step = AskOwner | Found | TryAgent | NotFound | Unanswered


class _Denials(NamedTuple):
    """Agents that have denied owning a flow."""

    denied_at: float
    ips: frozenset[str]


class _ScheduledSearch(NamedTuple):
    """A flow that is to be searched later.

    :param due: time of the next search.
    :param until: time from which it is not retried, because the sender
        repeats the packets by then.
    """

    packets: list[Packet]
    service: ServiceName | None
    due: float
    until: float


class _Search:
    """State of a running search."""

    __slots__ = (
        'asked',
        'balancers',
        'deadline',
        'has_asked_preferred',
        'named',
        'packets',
        'restarted',
        'service',
        'unanswered',
        'unknown',
        'until',
    )  # fmt: skip

    def __init__(
        self,
        packets: list[Packet],
        service: ServiceName | None,
        until: float | None,
    ):
        self.packets = packets
        self.service = service
        #: Time from which the search is not retried, ``None`` if it is not a
        #: retry.
        self.until = until
        self.asked: set[str] = set()
        #: Agents that have not answered yet.
        self.unanswered: set[str] = set()
        #: Agents that answered ``UNKNOWN``.
        self.unknown: list[str] = []
        #: Agents that answered ``RESTARTED``.
        self.restarted: list[str] = []
        #: Balancers that have not answered yet.
        self.balancers: set[str] = set()
        #: Agents that balancers named as the owner and that are not asked.
        self.named: set[str] = set()
        #: Whether the preferred agents elsewhere have been asked.
        self.has_asked_preferred = False
        self.deadline = 0.0

    @property
    def is_waiting(self) -> bool:
        """Whether an answer is missing."""
        return bool(self.unanswered or self.balancers)

    @property
    def denied(self) -> frozenset[str]:
        """Agents that have denied owning the flow."""
        return frozenset(
            self.asked - self.unanswered - {*self.unknown, *self.restarted}
        )


class Locator:
    """Runs the searches of a balancer.

    :param fleet: the agents that can be asked.
    :param known_fleet: tells whether agents are still becoming known.
    :param datacentre: the data centre of the balancer.
    """

    def __init__(
        self,
        fleet: Fleet,
        known_fleet: KnownFleet,
        datacentre: DatacentreName,
    ):
        self._fleet = fleet
        self._known_fleet = known_fleet
        self._datacentre = datacentre
        self._search_by_flow: dict[FlowKey, _Search] = {}
        self._trials_by_flow: dict[FlowKey, list[tuple[float, str]]] = {}
        #: Agents that were tried and have not handed the packet back yet.
        self._open_trials_by_flow: dict[FlowKey, set[str]] = {}
        #: Denials of searches that ended without a result. They stay valid
        #: when the packets are repeated, since a flow never moves to another
        #: upstream.
        self._denials_by_flow: dict[FlowKey, _Denials] = {}
        self._scheduled_by_flow: dict[FlowKey, _ScheduledSearch] = {}
        self._scheduled_packet_count = 0

    def __len__(self) -> int:
        return len(self._search_by_flow)

    def search(
        self, packet: Packet, service: ServiceName | None, now: float
    ) -> list[Step]:
        """Search for the owner of a packet's flow.

        :param packet: a packet that is not an opening.
        :param service: service of its destination by the routes, ``None`` if
            there is none.
        :param now: time in seconds.
        :returns: the next steps; none if the flow is being searched already.
        """
        search = self._search_by_flow.get(packet.flow)
        if search is not None:
            if len(search.packets) < MAX_PACKETS:
                search.packets.append(packet)
            return []
        scheduled = self._drop_scheduled(packet.flow)
        packets = [packet]
        if scheduled is not None:
            packets = [p for p in scheduled.packets if p.raw != packet.raw]
            packets = [*packets, packet][-MAX_PACKETS:]
        return self._start_search(packets, service, None, now)

    def _start_search(
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
        if denials is not None and now - denials.denied_at < TRIAL_WINDOW_S:
            search.asked.update(denials.ips)
        # Most flows are held by an upstream in their caller's data centre.
        near = [
            view.ip
            for view in self._fleet.agents_of(service)
            if view.status.datacentre == self._datacentre
            and self._may_answer(view, now)
            and view.ip not in search.asked
        ]
        if until is None:
            search.balancers.update(self._balancers_to_ask(now))
        return self._ask(search, near, now)

    def _balancers_to_ask(self, now: float) -> list[str]:
        views = self._fleet.near_balancers(self._datacentre, now)
        # The fabric prefers those with fast links.
        views.sort(key=lambda view: -view.status.link_mbps)
        return [view.ip for view in views[:MAX_ASKED_BALANCERS]]

    def search_later(
        self,
        packets: Iterable[Packet],
        service: ServiceName | None,
        due: float,
        until: float,
    ) -> None:
        """Schedule a search, which :meth:`expire` starts.

        :param packets: packets of one flow, to be forwarded to its owner.
        :param service: as for :meth:`search`.
        :param due: time of the search in seconds.
        :param until: time from which the search is not retried.
        """
        for packet in packets:
            scheduled = self._scheduled_by_flow.get(packet.flow)
            if scheduled is None:
                scheduled = _ScheduledSearch([], service, due, until)
                self._scheduled_by_flow[packet.flow] = scheduled
            if len(scheduled.packets) < MAX_PACKETS:
                scheduled.packets.append(packet)
                self._scheduled_packet_count += 1
        while self._scheduled_packet_count > MAX_SCHEDULED_PACKETS:
            self._drop_scheduled(next(iter(self._scheduled_by_flow)))

    def _drop_scheduled(self, flow: FlowKey) -> _ScheduledSearch | None:
        scheduled = self._scheduled_by_flow.pop(flow, None)
        if scheduled is not None:
            self._scheduled_packet_count -= len(scheduled.packets)
        return scheduled

    def _start_due_searches(self, now: float) -> list[Step]:
        """Start the scheduled searches that are due."""
        due = [
            (flow, scheduled)
            for flow, scheduled in self._scheduled_by_flow.items()
            if now >= scheduled.due
        ]
        steps = []
        for flow, scheduled in due:
            self._drop_scheduled(flow)
            if now < scheduled.until:
                steps += self._start_search(
                    scheduled.packets, scheduled.service, scheduled.until, now
                )
        return steps

    def forget(self, flow: FlowKey) -> None:
        """Forget all about a flow, because a new one opens with its key."""
        self._denials_by_flow.pop(flow, None)
        self._drop_scheduled(flow)

    def receive_answers(
        self, ip: str, message: OwnershipAnswers, now: float
    ) -> list[Step]:
        """Process an agent's answers.

        :returns: the next steps.
        """
        # Once for the message, since it looks at all agents. After a loss of
        # all power each flow would otherwise be tried everywhere.
        has_lost_power = any(
            answer.verdict is Verdict.RESTARTED for answer in message.answers
        ) and self._fleet.has_lost_power(ip, now)
        return [
            step
            for answer in message.answers
            for step in self._process_answer(
                ip, answer, message.incarnation, has_lost_power, now
            )
        ]

    def _process_answer(
        self,
        ip: str,
        answer: Answer,
        incarnation: int,
        has_lost_power: bool,
        now: float,
    ) -> list[Step]:
        search = self._search_by_flow.get(answer.flow)
        if search is None and answer.verdict is Verdict.OWNED:
            return self._end_trial(ip, answer.flow, incarnation)
        if search is None or ip not in search.unanswered:
            return []
        search.unanswered.discard(ip)
        if answer.verdict is Verdict.OWNED:
            del self._search_by_flow[answer.flow]
            return [Found(ip, incarnation, tuple(search.packets))]
        if answer.verdict is Verdict.UNKNOWN:
            search.unknown.append(ip)
        elif answer.verdict is Verdict.RESTARTED and not has_lost_power:
            search.restarted.append(ip)
        return [] if search.is_waiting else self._conclude(search, now)

    def receive_owners(
        self, balancer: str, message: KnownOwners, now: float
    ) -> list[Step]:
        """Process the answers of another balancer.

        An agent that it names is asked, since the balancer may be wrong.

        :returns: the next steps.
        """
        steps = []
        for owner in message.owners:
            search = self._search_by_flow.get(owner.flow)
            if search is None or balancer not in search.balancers:
                continue
            search.balancers.discard(balancer)
            ip = number_ip(owner.agent)
            if ip in self._fleet.agents_by_ip and ip not in search.asked:
                search.named.add(ip)
            if not search.is_waiting:
                steps += self._conclude(search, now)
        return steps

    def _end_trial(
        self, ip: str, flow: FlowKey, incarnation: int
    ) -> list[Step]:
        """Process the answer of a tried agent whose upstream has the flow.

        Without it the owner would be known only to the retry of the search,
        and the packets that follow would wait for that.
        """
        if ip not in self._open_trials_by_flow.get(flow, ()):
            return []
        del self._open_trials_by_flow[flow]
        scheduled = self._drop_scheduled(flow)
        if scheduled is None:
            return []
        return [Found(ip, incarnation, tuple(scheduled.packets))]

    def expire(self, now: float) -> list[Step]:
        """Conclude overdue searches and start the scheduled ones.

        :returns: the next steps.
        """
        overdue = [
            search
            for search in self._search_by_flow.values()
            if now >= search.deadline
        ]
        steps = [
            step for search in overdue for step in self._conclude(search, now)
        ]
        self._drop_trials(now)
        return steps + self._start_due_searches(now)

    def _may_answer(self, view: AgentView, now: float) -> bool:
        return now - view.heard_at < self._fleet.lost_after_s(view)

    def _ask(
        self, search: _Search, agents: Iterable[str], now: float
    ) -> list[Step]:
        """Ask agents, and the balancers of a new search."""
        search.named.clear()
        search.asked.update(agents)
        search.unanswered.update(agents)
        if not search.is_waiting:
            return self._conclude(search, now)
        search.deadline = now + ANSWER_TIMEOUT_S
        packet = search.packets[0]
        ips = (*agents, *search.balancers)
        return [AskOwner(packet.flow, packet.acknowledged, ips)]

    def _conclude(self, search: _Search, now: float) -> list[Step]:
        search.balancers.clear()
        if search.named:
            return self._ask(search, tuple(search.named), now)
        # Agents may have become known during the search.
        unasked = [
            view
            for view in self._fleet.agents_by_ip.values()
            if view.ip not in search.asked and self._may_answer(view, now)
        ]
        packet = search.packets[-1]
        ips = self._next_agents(search, unasked, now)
        if ips:
            return self._ask(search, ips, now)
        del self._search_by_flow[packet.flow]
        self._remember_denials(packet.flow, search, now)
        missing = self._missing(search, now)
        if search.unknown or search.restarted:
            return self._try_agents(search, packet, not unasked, missing, now)
        if missing or unasked or not search.asked:
            return self._schedule_retry(search, missing, now)
        return [NotFound(packet, len(search.denied))]

    def _next_agents(
        self, search: _Search, unasked: list[AgentView], now: float
    ) -> list[str]:
        """Return the agents that a search asks next, nearby ones first.

        :param unasked: the agents that it has not asked.
        :returns: empty if those elsewhere are not to be asked yet.
        """
        if not unasked or self._is_likely_near(search, now):
            return []
        views = [v for v in unasked if v.status.service == search.service]
        views = views or unasked
        near = [v.ip for v in views if v.status.datacentre == self._datacentre]
        if near or self._known_fleet.is_gathering(now):
            return near
        ips = [view.ip for view in views]
        if search.has_asked_preferred:
            return ips
        search.has_asked_preferred = True
        return by_preference(search.packets[0].flow, ips)[:MAX_PREFERRED]

    def _is_likely_near(self, search: _Search, now: float) -> bool:
        """Return whether the owner is likely one of the asked agents.

        That applies after most processes nearby were killed. The restarted
        agents are tried before the others are asked, since each question to
        the other data centres would cross in vain.
        """
        answered = len(search.asked) - len(search.unanswered)
        if 2 * len(search.restarted) <= answered:
            return False
        flow = search.packets[0].flow
        if self._untried(flow, search.restarted):
            return True
        tried_at, _ = self._trials_by_flow[flow][-1]
        return (
            bool(self._open_trials_by_flow.get(flow))
            and now - tried_at < TRIAL_ANSWER_S
        )

    def _untried(self, flow: FlowKey, ips: Iterable[str]) -> list[str]:
        """Return those of some agents that were not tried for a flow."""
        tried = {ip for _, ip in self._trials_by_flow.get(flow, ())}
        return [ip for ip in ips if ip not in tried]

    def _missing(self, search: _Search, now: float) -> tuple[str, ...]:
        """Return the agents whose answer a search needs and does not have.

        An agent without an upstream is asked as well, since it may have a new
        one. It often leaves with its host, and then holds nothing.
        """
        unanswered = (
            ip for ip in search.unanswered if not self._fleet.has_ended(ip)
        )
        absent = (
            view.ip
            for view in self._fleet.absent_agents(now)
            if view.ip not in search.asked
        )
        return (*unanswered, *absent)

    def _schedule_retry(
        self, search: _Search, missing: tuple[str, ...], now: float
    ) -> list[Step]:
        """Schedule the retry of a search that ended without a result."""
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
            or now - next(iter(denials.values())).denied_at >= TRIAL_WINDOW_S
        ):
            del denials[next(iter(denials))]

    def _try_agents(
        self,
        search: _Search,
        packet: Packet,
        are_all_asked: bool,
        missing: tuple[str, ...],
        now: float,
    ) -> list[Step]:
        trials = self._trials_by_flow.setdefault(packet.flow, [])
        recent = sum(now - at < TRIAL_WINDOW_S for at, _ in trials)
        is_complete = (
            are_all_asked
            and not missing
            and not self._fleet.has_unheard_agents(now)
        )
        unknown = self._untried(packet.flow, search.unknown)
        # If all agents have answered and none has claimed the flow, the owner
        # is among those that do not know.
        max_unsafe = max(0, MAX_TRIALS - recent)
        max_unknown = MAX_TRIAL_BATCH if is_complete else max_unsafe
        max_all = MAX_TRIAL_BATCH
        if any(
            map(self._is_restarting, missing)
        ) or self._fleet.has_absent_listed_agents(now):
            max_all = max_unsafe
        restarted = self._untried(packet.flow, search.restarted)
        # Placement has preferred the first ones, near ones before all.
        restarted = by_preference(packet.flow, restarted)
        unknown = by_preference(packet.flow, unknown)
        chosen = sorted(
            restarted + unknown[:max_unknown], key=self._is_remote
        )[:max_all]
        if not chosen:
            missing = (*search.unknown, *search.restarted)
            return self._schedule_retry(search, missing, now)
        trials.extend((now, ip) for ip in chosen)
        # An owner whose upstream has nothing to answer yet stays among them.
        self._open_trials_by_flow.setdefault(packet.flow, set()).update(chosen)
        # The owner can answer a retry once its upstream has answered.
        self._schedule_retry(search, (), now)
        return [TryAgent(ip, packet) for ip in chosen]

    def _is_restarting(self, ip: str) -> bool:
        view = self._fleet.agents_by_ip.get(ip)
        return view is not None and view.status.state is AgentState.RESTARTING

    def _is_remote(self, ip: str) -> bool:
        view = self._fleet.agents_by_ip.get(ip)
        return view is None or view.status.datacentre != self._datacentre

    def receive_denial(
        self, ip: str, packet: Packet, service: ServiceName | None, now: float
    ) -> list[Step]:
        """Process a packet that an agent handed back after a trial.

        The search restarts when the last tried agent has handed it back.

        :returns: the next steps.
        """
        outstanding = self._open_trials_by_flow.get(packet.flow)
        if outstanding is None or ip not in outstanding:
            return []
        outstanding.discard(ip)
        if outstanding:
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
                flow: outstanding
                for flow, outstanding in self._open_trials_by_flow.items()
                if flow in self._trials_by_flow
            }
