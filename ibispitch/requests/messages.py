"""Messages between agents about delegated runs.

The owner of a request asks another agent, the delegate, to run it.
"""

import enum

import msgspec

from ibispitch.admission.types import Load
from ibispitch.admission.types import RunId
from ibispitch.ids import FlowId
from ibispitch.wire.messages import control_message


class ReplyOutcome(enum.IntEnum):
    """Outcome of a delegated run.

    RUNNING is the reply to a repeated run request whose run has not ended.
    """

    RESULT = 0
    NOT_RUN = 1
    UNKNOWN = 2
    RUNNING = 3


@control_message('requests.run')
class RunRequest(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Ask another agent to run a request at its upstream.

    :param incarnation: incarnation of the delegate that is to run it. A
        delegate that was restarted has lost its run records, so it must not
        run a request that may have run before the restart.
    :param deadline_ms: time until the deadline, in milliseconds.
    :param datagram: the request as the caller sent it.
    """

    run_id: RunId
    incarnation: int
    flow: FlowId
    deadline_ms: int
    datagram: bytes


@control_message('requests.reply')
class RunReply(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Reply to a run request: the outcome and the answer.

    :param datagram: the answer of the upstream, without message id and
        token; empty if there is none.
    :param retry_after_s: for NOT_RUN, time after which to try again.
    :param load: load of the delegate.
    """

    run_id: RunId
    outcome: ReplyOutcome
    datagram: bytes = b''
    retry_after_s: float = 0.0
    load: Load | None = None


@control_message('requests.cancel')
class RunCancel(msgspec.Struct, array_like=True, frozen=True):
    """Ask the delegate to cancel a run."""

    run_id: RunId
