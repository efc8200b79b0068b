"""The other agents of the service that this agent knows of.

Agents receive new views at different times. So a message may come from an
agent, or name one, that is missing from the view of the receiver, and a view
may lack an agent that runs. Such an agent is probed, and kept as a peer for
as long as it answers.
"""

from typing import NamedTuple

from ibispitch.affinity.messages import KNOWN_HASH_BYTES
from ibispitch.affinity.messages import MAX_KNOWN_AGENTS
from ibispitch.affinity.messages import PeerInfo
from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import DatacentreName
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import ServiceView
from ibispitch.routing.slots import agent_hash

#: A peer in the view that has not answered for this long is cut off, that
#: is, considered unreachable. A peer may be paused for just less than its
#: lease of 3 s without being lost, and the first pulls or their answers may
#: be lost too.
LISTED_TIMEOUT_S = 4.0

#: A peer missing from the view is removed when it has not answered for this
#: long, which is five probes. The time is shorter because most such peers
#: have stopped, and packets of unknown flows wait for their answers.
UNLISTED_TIMEOUT_S = 1.0


class Peer:
    """Another agent.

    :param info: its identity and address.
    :param is_in_view: whether the newest view lists it.
    """

    __slots__ = ('info', 'is_cut_off', 'is_in_view', 'unanswered_since')

    def __init__(self, info: PeerInfo, is_in_view: bool):
        self.info = info
        self.is_in_view = is_in_view
        self.is_cut_off = False
        #: Time of the first unanswered message, in seconds.
        self.unanswered_since: float | None = None


class PeerChange(NamedTuple):
    """Peers that joined or returned, and peers that were removed."""

    appeared: list[AgentId]
    removed: list[AgentId]


def peer_info_of(record: AgentRecord) -> PeerInfo:
    """Return the identity and address of the agent of a record."""
    return PeerInfo(
        record.agent_id, record.address, record.datacentre, record.incarnation
    )


def agent_id_hash(agent: AgentId) -> bytes:
    """Return the hash that represents a known agent in a pull."""
    return (agent_hash(agent) >> 32).to_bytes(KNOWN_HASH_BYTES, 'big')


class PeerSet:
    """Known peers by id.

    :param self_id: this agent, which is never a peer.
    """

    def __init__(self, self_id: AgentId):
        self._self_id = self_id
        self.by_id: dict[AgentId, Peer] = {}
        self._id_by_address: dict[Address, AgentId] = {}
        self._agents_out: dict[AgentId, PeerInfo] = {}
        self._datacentres_out: frozenset[DatacentreName] = frozenset()
        #: Incarnations of peers that stopped answering, so that hints of
        #: agents with older views do not add them again.
        self._removed_incarnations: dict[AgentId, int] = {}
        #: Peers that were replaced by a later incarnation.
        self.restarted: set[AgentId] = set()

    def reachable(self) -> list[AgentId]:
        """Return the peers that are not cut off."""
        return [
            agent for agent, peer in self.by_id.items() if not peer.is_cut_off
        ]

    def is_reachable(self, agent: AgentId | None) -> bool:
        """Return whether an agent is a peer that is not cut off."""
        peer = self.by_id.get(agent)
        return peer is not None and not peer.is_cut_off

    def is_out(self, agent: AgentId) -> bool:
        """Return whether the data centre of an agent is out of service."""
        return agent in self._agents_out

    def address_of(self, agent: AgentId) -> Address | None:
        """Return the address of a known agent, ``None`` if unknown."""
        peer = self.by_id.get(agent)
        if peer is not None:
            return peer.info.address
        out = self._agents_out.get(agent)
        return out.address if out else None

    def incarnation_of(self, agent: AgentId) -> int:
        """Return the incarnation of a peer, 0 if it is unknown."""
        peer = self.by_id.get(agent)
        return peer.info.incarnation if peer is not None else 0

    def agent_at(self, address: Address) -> AgentId | None:
        """Return the peer that has an address, ``None`` if unknown."""
        return self._id_by_address.get(address)

    def known_hashes(self) -> bytes:
        """Return the hashes of the known agents, for a pull.

        :returns: empty bytes if there are too many.
        """
        agents = {
            *self.by_id,
            *self._agents_out,
            *self._removed_incarnations,
            self._self_id,
        }
        if len(agents) > MAX_KNOWN_AGENTS:
            return b''
        return b''.join(agent_id_hash(agent) for agent in sorted(agents))

    def reachable_unknown_to(self, known: bytes) -> list[PeerInfo]:
        """Return the reachable peers whose hashes are not in ``known``."""
        if not known:
            return []
        hashes = {
            known[start : start + KNOWN_HASH_BYTES]
            for start in range(0, len(known), KNOWN_HASH_BYTES)
        }
        return [
            peer.info
            for agent, peer in self.by_id.items()
            if not peer.is_cut_off and agent_id_hash(agent) not in hashes
        ]

    def set_view(self, view: ServiceView, now: float) -> PeerChange:
        """Update the peers from a new view.

        A peer that the view no longer lists is kept until it stops
        answering.

        :param view: the view.
        :param now: time in seconds.
        :returns: peers that are new or restarted, and peers whose data
            centre is out of service.
        """
        self._datacentres_out = frozenset(view.datacentres_out)
        listed = {
            record.agent_id: record
            for record in view.agents
            if record.agent_id != self._self_id and record.state.is_present
        }
        self._agents_out = {
            agent: peer_info_of(record)
            for agent, record in listed.items()
            if record.datacentre in self._datacentres_out
        }
        removed = [
            agent
            for agent, peer in self.by_id.items()
            if agent in self._agents_out
            or peer.info.datacentre in self._datacentres_out
        ]
        for agent in removed:
            del self.by_id[agent]
        for agent, peer in self.by_id.items():
            if peer.is_in_view and agent not in listed:
                peer.is_in_view = False
                peer.unanswered_since = now
        appeared = [
            agent
            for agent, record in listed.items()
            if agent not in self._agents_out and self._mark_listed(record)
        ]
        self._index_addresses()
        return PeerChange(appeared, removed)

    def _mark_listed(self, record: AgentRecord) -> bool:
        """Mark a peer as listed; return whether it is new or restarted."""
        info = peer_info_of(record)
        self._removed_incarnations.pop(record.agent_id, None)
        peer = self.by_id.get(record.agent_id)
        if peer is None or peer.info.incarnation < info.incarnation:
            self._replace_peer(info, True)
            return True
        if not peer.is_in_view:
            peer.is_in_view = True
            peer.unanswered_since = None
        return False

    def _replace_peer(self, info: PeerInfo, is_in_view: bool) -> None:
        if info.agent_id in self.by_id:
            self.restarted.add(info.agent_id)
        self.by_id[info.agent_id] = Peer(info, is_in_view)

    def record_message(self, agent: AgentId, info: PeerInfo | None) -> bool:
        """Record that a message of an agent arrived.

        :param agent: the sender.
        :param info: identity and address of the sender, if the message has
            them.
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
                self._agents_out[agent] = info
                return False
            self._removed_incarnations.pop(agent, None)
            self._replace_peer(info, peer is not None and peer.is_in_view)
            self._index_addresses()
            return True
        returned = peer.is_cut_off
        peer.is_cut_off = False
        peer.unanswered_since = None
        return returned

    def restore(self, peers: list[tuple[PeerInfo, bool]], now: float) -> None:
        """Restore the peers of a predecessor process.

        :param peers: peers, and whether the view lists each of them.
        """
        for info, is_in_view in peers:
            peer = Peer(info, is_in_view)
            peer.unanswered_since = None if is_in_view else now
            self.by_id[info.agent_id] = peer
        self._index_addresses()

    def add_hinted(self, info: PeerInfo) -> bool:
        """Add an agent that another one named; return whether it is new."""
        if info.datacentre in self._datacentres_out:
            self._agents_out.setdefault(info.agent_id, info)
        if (
            info.agent_id == self._self_id
            or info.agent_id in self.by_id
            or self.is_out(info.agent_id)
            or self._removed_incarnations.get(info.agent_id, -1)
            >= info.incarnation
        ):
            return False
        self.by_id[info.agent_id] = Peer(info, False)
        self._index_addresses()
        return True

    def mark_asked(self, agent: AgentId, now: float) -> None:
        """Mark a peer as asked, so that it must answer in time."""
        peer = self.by_id.get(agent)
        if peer is not None and peer.unanswered_since is None:
            peer.unanswered_since = now

    def expire(self, now: float) -> tuple[list[AgentId], list[AgentId]]:
        """Cut off or remove the peers that have not answered in time.

        :returns: listed peers that were cut off, and other peers, which were
            removed.
        """
        cut_off, removed = [], []
        for agent, peer in self.by_id.items():
            if peer.unanswered_since is None:
                continue
            waited = now - peer.unanswered_since
            if not peer.is_in_view:
                if waited >= UNLISTED_TIMEOUT_S:
                    removed.append(agent)
            elif waited >= LISTED_TIMEOUT_S and not peer.is_cut_off:
                peer.is_cut_off = True
                cut_off.append(agent)
        for agent in removed:
            self._removed_incarnations[agent] = self.by_id.pop(
                agent
            ).info.incarnation
        if removed:
            self._index_addresses()
        return cut_off, removed

    def _index_addresses(self) -> None:
        self._id_by_address = {
            peer.info.address: agent for agent, peer in self.by_id.items()
        }
