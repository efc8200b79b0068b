"""The stream of one agent at its parent."""

from collections.abc import Mapping
from typing import Any

from ibispitch.ids import AgentId
from ibispitch.membership.leases import Answer
from ibispitch.membership.leases import LeaseTable
from ibispitch.membership.messages import Announce
from ibispitch.membership.messages import LeaseGranted
from ibispitch.membership.messages import Leave
from ibispitch.membership.messages import Renew
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.view import ViewSequence
from ibispitch.wire import WireError
from ibispitch.wire.errors import WireFault
from ibispitch.wire.streams import MessageStream


class AgentSession:
    """Requests of one agent over one stream.

    :param stream: the stream, already authenticated.
    :param leases: the leases that this balancer grants.
    :param agents: records in spread by agent id.
    """

    def __init__(
        self,
        stream: MessageStream,
        leases: LeaseTable,
        agents: Mapping[AgentId, AgentRecord],
    ):
        self.stream = stream
        self.record: AgentRecord | None = None
        self.views = ViewSequence(0)
        #: Whether an announcement was granted that no view followed yet.
        self.was_granted = False
        self._leases = leases
        self._agents = agents

    @property
    def agent_id(self) -> AgentId | None:
        """Identifier of the agent, ``None`` before its announcement."""
        return self.record.agent_id if self.record else None

    def on_message(self, message: Any, now: float) -> AgentRecord | None:
        """Handle a message of the agent and queue the answer.

        :param message: the message.
        :param now: monotonic time in seconds.
        :returns: a record to publish.
        :raises WireError: if the message does not belong here.
        """
        if isinstance(message, Announce):
            return self._on_announce(message, now)
        if self.record is not None:
            if isinstance(message, Renew):
                return self._answer(self._leases.renew(message, now))
            if isinstance(message, Leave):
                known = self._agents.get(message.record.agent_id)
                return self._leases.leave(message.record, known)
        raise WireError(
            WireFault.BAD_MESSAGE,
            f'{type(message).__name__} before an announcement',
        )

    def _on_announce(
        self, message: Announce, now: float
    ) -> AgentRecord | None:
        record = message.record
        known = self._agents.get(record.agent_id)
        answer = self._leases.announce(record, known, now)
        self.record = record
        self.views.seen(message.view_version)
        self.was_granted = isinstance(answer.message, LeaseGranted)
        return self._answer(answer)

    def _answer(self, answer: Answer) -> AgentRecord | None:
        self.stream.write(answer.message)
        return answer.publish
