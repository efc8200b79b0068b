"""Session of one agent at its parent."""

from typing import Any

from ibispitch.ids import AgentId
from ibispitch.membership.core import Effect
from ibispitch.membership.core import MembershipCore
from ibispitch.membership.messages import Announce
from ibispitch.membership.messages import LeaseGranted
from ibispitch.membership.messages import Leave
from ibispitch.membership.messages import Renew
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.view import ViewSequence
from ibispitch.wire import WireError
from ibispitch.wire.errors import WireFault
from ibispitch.wire.streams import MessageStream

LEASE_MESSAGES = (Announce, Renew, Leave)


class AgentSession:
    """Handles the requests of one agent on one stream.

    :param stream: the stream, already authenticated.
    :param core: grants or refuses leases.
    """

    def __init__(self, stream: MessageStream, core: MembershipCore):
        self.stream = stream
        self.record: AgentRecord | None = None
        self.views = ViewSequence(0)
        #: Whether a lease was granted after which no view was sent yet.
        self.is_view_due = False
        self._core = core

    @property
    def agent_id(self) -> AgentId | None:
        """Identifier of the agent, ``None`` before it announces itself."""
        return self.record.agent_id if self.record else None

    def on_message(self, message: Any, now: float) -> list[Effect]:
        """Handle a message from the agent and queue the answer.

        :param message: the message.
        :param now: monotonic time in seconds.
        :returns: effects to carry out.
        :raises WireError: if the message is not a lease request, or is not
            an announcement at the start of the session.
        """
        is_first = self.record is None
        if not isinstance(message, Announce if is_first else LEASE_MESSAGES):
            raise WireError(
                WireFault.BAD_MESSAGE,
                f'unexpected {type(message).__name__}; expected an'
                ' announcement first, then lease requests',
            )
        answer, effects = self._core.on_agent_message(message, now)
        if isinstance(message, Announce):
            self.record = message.record
            self.views.record_seen(message.view_version)
            self.is_view_due = isinstance(answer, LeaseGranted)
        if answer is not None:
            self.stream.write(answer)
        return effects
