"""Delegated runs, for the owner of a request and for the delegate.

The owner is the agent that owns the flow of the request. The delegate is the
agent that runs the request at its upstream for the owner.
"""

from collections.abc import Mapping
from collections.abc import Sequence

from aiocoap import Message
import msgspec

from ibispitch.admission.types import RunId
from ibispitch.ids import AgentId
from ibispitch.requests import coap
from ibispitch.requests import guard
from ibispitch.requests.effects import Effect
from ibispitch.requests.effects import SendRun
from ibispitch.requests.effects import SendRunReply
from ibispitch.requests.jobs import Job
from ibispitch.requests.jobs import JobState
from ibispitch.requests.messages import ReplyOutcome
from ibispitch.requests.messages import RunCancel
from ibispitch.requests.messages import RunReply
from ibispitch.requests.messages import RunRequest
from ibispitch.requests.records import DelegatedRunTable
from ibispitch.requests.runs import DEFAULT_RETRY_AFTER_S
from ibispitch.requests.runs import RequestGate
from ibispitch.requests.runs import unless_handed_over

#: Interval in seconds at which a run request is repeated until it is answered.
RUN_REQUEST_INTERVAL_S = 0.5
#: Run requests without an answer after which a delegate counts as lost.
#: Multiplied by the interval, this is the duration of the lease of an agent.
MAX_UNANSWERED_RUN_REQUESTS = 6
#: Maximum number of delegates that are asked to run a request.
MAX_DELEGATES = 4


class DelegatingGate(RequestGate):
    """Delegates requests to other agents, and runs requests for them."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._delegated_runs = DelegatedRunTable()
        self._incarnation_by_agent: dict[AgentId, int] = {}
        self._run_by_delegated_run: dict[RunId, RunId] = {}

    @unless_handed_over
    def on_agents(
        self, incarnation_by_agent: Mapping[AgentId, int], now: float
    ) -> Sequence[Effect]:
        """Set the other agents of the service, as listed in a new view.

        :param incarnation_by_agent: incarnation of each agent but this one.
        """
        self._incarnation_by_agent = dict(incarnation_by_agent)
        for job in list(self._jobs.by_run.values()):
            if (
                job.state is JobState.DELEGATED
                and job.delegate not in self._incarnation_by_agent
            ):
                self._on_unknown_outcome(job, 'delegate', now)
        return self._take_effects(now)

    # Owner

    def _run_at_peer(self, job: Job, agent_id: AgentId, now: float) -> None:
        incarnation = self._incarnation_by_agent.get(agent_id)
        if incarnation is None:
            job.delegate = agent_id
            self._decide_again(job, now)
            return
        job.state, job.delegate = JobState.DELEGATED, agent_id
        job.delegate_incarnation, job.asked = incarnation, 0
        job.started = now
        job.asked_as = self._new_run_id()
        self._run_by_delegated_run[job.asked_as] = job.run_id
        self._acknowledge(job)
        self._send_run_request(job, now)

    def _forget_delegation(self, job: Job) -> None:
        self._run_by_delegated_run.pop(job.asked_as, None)

    def _decide_again(self, job: Job, now: float) -> None:
        """Ask admission again, as the delegate has not run the request."""
        self._forget_delegation(job)
        job.declined.append(job.delegate)
        job.state, job.delegate = JobState.NEW, None
        job.pinned = len(job.declined) >= MAX_DELEGATES
        self._decide(job, now)

    def _send_run_request(self, job: Job, now: float) -> None:
        job.asked += 1
        job.ask_due = now + RUN_REQUEST_INTERVAL_S
        self._timers.set(job.ask_due, 'ask', job.run_id)
        request = RunRequest(
            run_id=job.asked_as,
            incarnation=job.delegate_incarnation,
            flow=job.flow,
            deadline_ms=max(1, int((job.deadline - now) * 1000)),
            datagram=job.datagram,
        )
        self._emit(SendRun(job.delegate, request))

    def _on_ask_due(self, job: Job, now: float) -> None:
        if job.state is not JobState.DELEGATED or now < job.ask_due:
            return
        if job.asked >= MAX_UNANSWERED_RUN_REQUESTS:
            self._on_unknown_outcome(job, 'delegate', now)
        else:
            self._send_run_request(job, now)

    def _cancel_delegate(self, job: Job) -> None:
        if job.delegate is not None:
            self._emit(SendRun(job.delegate, RunCancel(job.asked_as)))

    @unless_handed_over
    def on_run_reply(
        self, sender: AgentId, reply: RunReply, now: float
    ) -> Sequence[Effect]:
        """Handle the reply of a delegate to a run request."""
        job = self._jobs.by_run.get(
            self._run_by_delegated_run.get(reply.run_id)
        )
        if (
            job is None
            or job.state is not JobState.DELEGATED
            or job.delegate != sender
        ):
            self._count('gate_answers_dropped', reason='late')
            return self._take_effects(now)
        job.asked = 0
        match reply.outcome:
            case ReplyOutcome.RESULT:
                self._on_delegated_result(job, reply, now)
            case ReplyOutcome.NOT_RUN if job.cancelled or (
                not job.starts_exchange
            ):
                self._refuse(job, reply.retry_after_s, 'delegate', now)
            case ReplyOutcome.NOT_RUN:
                self._decide_again(job, now)
            case ReplyOutcome.UNKNOWN:
                self._on_unknown_outcome(job, 'delegate', now)
        return self._take_effects(now)

    def _on_delegated_result(
        self, job: Job, reply: RunReply, now: float
    ) -> None:
        try:
            message = coap.decode(reply.datagram)
        except coap.MalformedError:
            self._on_unknown_outcome(job, 'malformed', now)
            return
        self._retries.deposit(now)
        self._deliver_result(job, message, now)

    # Delegate

    @unless_handed_over
    def on_run_request(
        self, sender: AgentId, request: RunRequest, now: float
    ) -> Sequence[Effect]:
        """Run a request for another agent, or repeat the reply to it."""
        run = self._delegated_runs.find(request.run_id)
        if run is not None:
            running = RunReply(
                run_id=request.run_id, outcome=ReplyOutcome.RUNNING
            )
            self._send_reply(sender, run.reply or running)
        elif (
            request.incarnation not in self._echo.state.keys
            or not self._delegated_runs.may_add(request.run_id)
        ):
            # It may have run before this agent was restarted, or its run may
            # have been forgotten.
            self._count('gate_unknown_runs')
            unknown = RunReply(
                run_id=request.run_id, outcome=ReplyOutcome.UNKNOWN
            )
            self._send_reply(sender, unknown)
        else:
            self._delegated_runs.add(request.run_id, now)
            self._start_delegated(sender, request, now)
        return self._take_effects(now)

    def _start_delegated(
        self, sender: AgentId, request: RunRequest, now: float
    ) -> None:
        try:
            message = coap.decode(request.datagram)
        except coap.MalformedError:
            message = Message()
        limit_s = self._settings.deadline_max_s
        job = Job(
            run_id=request.run_id,
            flow=request.flow,
            datagram=request.datagram,
            guarded=True,
            received=now,
            deadline=now + min(request.deadline_ms / 1000, limit_s),
            pinned=True,
            origin=sender,
        )
        if message.code is None or not message.code.is_request():
            self._reply_failure(job, DEFAULT_RETRY_AFTER_S, now)
            return
        job.guarded = guard.is_guarded(message)
        job.site = request.flow + coap.exchange_digest(message)
        job.starts_exchange = coap.part_of(message) == (0, 0)
        self._start(job, now)

    @unless_handed_over
    def on_run_cancel(
        self, sender: AgentId, cancel: RunCancel, now: float
    ) -> Sequence[Effect]:
        """Cancel a run for another agent.

        An unknown run is recorded as not run, since the cancellation may
        have arrived before the run request.
        """
        job = self._jobs.by_run.get(cancel.run_id)
        if job is not None and job.origin == sender:
            if not job.cancelled:
                self._cancel(job, now)
        elif self._delegated_runs.find(
            cancel.run_id
        ) is None and self._delegated_runs.may_add(cancel.run_id):
            run = self._delegated_runs.add(cancel.run_id, now)
            run.reply = RunReply(
                run_id=cancel.run_id,
                outcome=ReplyOutcome.NOT_RUN,
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        return self._take_effects(now)

    def _reply_result(self, job: Job, message: Message, now: float) -> None:
        reply = RunReply(
            run_id=job.run_id,
            outcome=ReplyOutcome.RESULT,
            datagram=coap.encode_detached(message),
        )
        self._record_and_send_reply(job, reply)

    def _reply_failure(
        self, job: Job, retry_after_s: float | None, now: float
    ) -> None:
        not_run = retry_after_s is not None
        reply = RunReply(
            run_id=job.run_id,
            outcome=ReplyOutcome.NOT_RUN if not_run else ReplyOutcome.UNKNOWN,
            retry_after_s=retry_after_s or 0.0,
        )
        self._record_and_send_reply(job, reply)

    def _record_and_send_reply(self, job: Job, reply: RunReply) -> None:
        run = self._delegated_runs.find(job.run_id)
        if run is not None:
            run.reply = reply
        self._send_reply(job.origin, reply)

    def _send_reply(self, to: AgentId, reply: RunReply) -> None:
        reply = msgspec.structs.replace(reply, load=self._admission.load())
        self._emit(SendRunReply(to, reply))
