"""The other agents of the service that this agent knows of.

Views reach agents unevenly, so that a message may come from, or name, an
agent that is not in the view, and a view may lack an agent that lives. Such
an agent is asked for signs of life and kept for as long as it answers.
"""

from typing import NamedTuple

from ibispitch.affinity.messages import KNOWN_BYTES
from ibispitch.affinity.messages import MAX_KNOWN
from ibispitch.affinity.messages import PeerInfo
from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import DatacentreName
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import ServiceView
from ibispitch.routing.slots import agent_hash

#: A peer of the view that owes an answer for this long is cut off. A peer
#: may be paused for just less than its lease of 3 s without being lost, and
#: the first pulls or their answers may be lost too.
CUT_OFF_S = 4.0

#: The same for a peer outside the view; five probes. It is shorter, since
#: most such peers are dead and unknown flows wait for their answer.
UNLISTED_TIMEOUT_S = 1.0


class Peer:
    """Another agent.

    :param info: how to reach it.
    :param in_view: whether the newest view lists it.
    """

    __slots__ = ('in_view', 'info', 'is_cut_off', 'waiting_since')

    def __init__(self, info: PeerInfo, in_view: bool):
        self.info = info
        self.in_view = in_view
        self.is_cut_off = False
        #: Time of the first message that is unanswered, in seconds.
        self.waiting_since: float | None = None


class PeerChange(NamedTuple):
    """Peers that joined or returned, and peers that are given up."""

    appeared: list[AgentId]
    removed: list[AgentId]


def info_of(record: AgentRecord) -> PeerInfo:
    """Return how to reach the agent of a record."""
    return PeerInfo(
        record.agent_id, record.address, record.datacentre, record.incarnation
    )


def known_hash(agent: AgentId) -> bytes:
    """Return the hash that stands for a known agent in a pull."""
    return (agent_hash(agent) >> 32).to_bytes(KNOWN_BYTES, 'big')


class PeerSet:
    """Known peers by id.

    :param self_id: this agent, which is never a peer.
    """

    def __init__(self, self_id: AgentId):
        self._self_id = self_id
        self.by_id: dict[AgentId, Peer] = {}
        self._id_by_address: dict[Address, AgentId] = {}
        self._out: dict[AgentId, PeerInfo] = {}
        self._datacentres_out: frozenset[DatacentreName] = frozenset()
        #: Incarnation of peers that stopped answering, so that hints of
        #: agents with older views do not bring them back.
        self._gone: dict[AgentId, int] = {}
        #: Peers that were replaced by a later incarnation.
        self.restarted: set[AgentId] = set()

    def reachable(self) -> list[AgentId]:
        """Return the peers that are not cut off."""
        return [
            agent for agent, peer in self.by_id.items() if not peer.is_cut_off
        ]

    def is_reachable(self, agent: AgentId | None) -> bool:
        """Tell whether an agent is a peer that is not cut off."""
        peer = self.by_id.get(agent)
        return peer is not None and not peer.is_cut_off

    def is_out(self, agent: AgentId) -> bool:
        """Tell whether the view has the agent in a data centre out."""
        return agent in self._out

    def address_of(self, agent: AgentId) -> Address | None:
        """Return the address of a peer."""
        peer = self.by_id.get(agent)
        if peer is not None:
            return peer.info.address
        out = self._out.get(agent)
        return out.address if out else None

    def incarnation_of(self, agent: AgentId) -> int:
        """Return the incarnation of a peer, 0 if it is unknown."""
        peer = self.by_id.get(agent)
        return peer.info.incarnation if peer is not None else 0

    def agent_at(self, address: Address) -> AgentId | None:
        """Return the peer that has an address."""
        return self._id_by_address.get(address)

    def known(self) -> bytes:
        """Return the hashes of all agents that need not be hinted."""
        agents = {*self.by_id, *self._out, *self._gone, self._self_id}
        if len(agents) > MAX_KNOWN:
            return b''
        return b''.join(known_hash(agent) for agent in sorted(agents))

    def unknown_to(self, known: bytes) -> list[PeerInfo]:
        """Return the reachable peers whose hashes are not in ``known``."""
        if not known:
            return []
        hashes = {
            known[start : start + KNOWN_BYTES]
            for start in range(0, len(known), KNOWN_BYTES)
        }
        return [
            peer.info
            for agent, peer in self.by_id.items()
            if not peer.is_cut_off and known_hash(agent) not in hashes
        ]

    def set_view(self, view: ServiceView, now: float) -> PeerChange:
        """Take over the agents of a new view.

        :param view: the view.
        :param now: time in seconds.
        :returns: peers that are new or restarted, and peers whose data
            centre is out. A peer that the view no longer lists is not
            removed until it stops answering.
        """
        self._datacentres_out = frozenset(view.datacentres_out)
        listed = {
            record.agent_id: record
            for record in view.agents
            if record.agent_id != self._self_id and record.state.is_present
        }
        self._out = {
            agent: info_of(record)
            for agent, record in listed.items()
            if record.datacentre in self._datacentres_out
        }
        removed = [
            agent
            for agent, peer in self.by_id.items()
            if agent in self._out
            or peer.info.datacentre in self._datacentres_out
        ]
        for agent in removed:
            del self.by_id[agent]
        for agent, peer in self.by_id.items():
            if peer.in_view and agent not in listed:
                peer.in_view = False
                peer.waiting_since = now
        appeared = [
            agent
            for agent, record in listed.items()
            if agent not in self._out and self._list(record)
        ]
        self._index()
        return PeerChange(appeared, removed)

    def _list(self, record: AgentRecord) -> bool:
        """Mark a peer as listed; true if it is new or restarted."""
        info = info_of(record)
        self._gone.pop(record.agent_id, None)
        peer = self.by_id.get(record.agent_id)
        if peer is None or peer.info.incarnation < info.incarnation:
            self._replace(info, True)
            return True
        if not peer.in_view:
            peer.in_view = True
            peer.waiting_since = None
        return False

    def _replace(self, info: PeerInfo, in_view: bool) -> None:
        if info.agent_id in self.by_id:
            self.restarted.add(info.agent_id)
        self.by_id[info.agent_id] = Peer(info, in_view)

    def heard(self, agent: AgentId, info: PeerInfo | None) -> bool:
        """Note a message of an agent.

        :param agent: the sender.
        :param info: how to reach it, if the message says so.
        :returns: whether the peer is new, restarted or was cut off.
        """
        if agent == self._self_id or self.is_out(agent):
            return False
        peer = self.by_id.get(agent)
        if peer is None or (
            info is not None and peer.info.incarnation < info.incarnation
        ):
            if info is None:
                return False
            if info.datacentre in self._datacentres_out:
                self._out[agent] = info
                return False
            self._gone.pop(agent, None)
            self._replace(info, peer is not None and peer.in_view)
            self._index()
            return True
        returned = peer.is_cut_off
        peer.is_cut_off = False
        peer.waiting_since = None
        return returned

    def restore(self, peers: list[tuple[PeerInfo, bool]], now: float) -> None:
        """Take over the peers of a predecessor process.

        :param peers: peers, and whether the view lists them.
        """
        for info, in_view in peers:
            peer = Peer(info, in_view)
            peer.waiting_since = None if in_view else now
            self.by_id[info.agent_id] = peer
        self._index()

    def hint(self, info: PeerInfo) -> bool:
        """Note an agent that another one named; true if it is new."""
        if info.datacentre in self._datacentres_out:
            self._out.setdefault(info.agent_id, info)
        if (
            info.agent_id == self._self_id
            or info.agent_id in self.by_id
            or self.is_out(info.agent_id)
            or self._gone.get(info.agent_id, -1) >= info.incarnation
        ):
            return False
        self.by_id[info.agent_id] = Peer(info, False)
        self._index()
        return True

    def asked(self, agent: AgentId, now: float) -> None:
        """Note that the peer owes an answer."""
        peer = self.by_id.get(agent)
        if peer is not None and peer.waiting_since is None:
            peer.waiting_since = now

    def expire(self, now: float) -> tuple[list[AgentId], list[AgentId]]:
        """Give up on peers that do not answer.

        :returns: listed peers that are cut off from now on, and others,
            which are removed.
        """
        cut_off, removed = [], []
        for agent, peer in self.by_id.items():
            if peer.waiting_since is None:
                continue
            waited = now - peer.waiting_since
            if not peer.in_view:
                if waited >= UNLISTED_TIMEOUT_S:
                    removed.append(agent)
            elif waited >= CUT_OFF_S and not peer.is_cut_off:
                peer.is_cut_off = True
                cut_off.append(agent)
        for agent in removed:
            self._gone[agent] = self.by_id.pop(agent).info.incarnation
        if removed:
            self._index()
        return cut_off, removed

    def _index(self) -> None:
        self._id_by_address = {
            peer.info.address: agent for agent, peer in self.by_id.items()
        }
