"""Runs of requests: admission, the upstream, retries and final answers."""

from collections.abc import Sequence
import functools
import random

from aiocoap import Message
from aiocoap.numbers.codes import Code

from ibispitch.admission.types import Admission
from ibispitch.admission.types import Refuse
from ibispitch.admission.types import RequestInfo
from ibispitch.admission.types import Retries
from ibispitch.admission.types import RunAt
from ibispitch.admission.types import RunHere
from ibispitch.admission.types import RunId
from ibispitch.admission.types import RunOutcome
from ibispitch.admission.types import Wait
from ibispitch.ids import AgentId
from ibispitch.ids import FlowId
from ibispitch.requests import coap
from ibispitch.requests import outcomes
from ibispitch.requests.callers import CallerSide
from ibispitch.requests.echo import EchoKeeper
from ibispitch.requests.effects import Count
from ibispitch.requests.effects import Effect
from ibispitch.requests.effects import Measure
from ibispitch.requests.feeds import FeedTable
from ibispitch.requests.feeds import Observation
from ibispitch.requests.guard import Guard
from ibispitch.requests.jobs import Job
from ibispitch.requests.jobs import JobState
from ibispitch.requests.jobs import JobTable
from ibispitch.requests.jobs import Site
from ibispitch.requests.jobs import SITE_LIFETIME_S
from ibispitch.requests.records import RecordTable
from ibispitch.requests.registry import GateSettings
from ibispitch.requests.timers import Timers
from ibispitch.requests.upstreams import UpstreamSide

MAX_RETRIES = 2
#: Retry time in seconds that is told to a caller when nothing better is
#: known.
RETRY_AFTER_S = 1.0
#: Time in seconds that a cancelled run has to deliver its result.
CANCEL_GRACE_S = 0.5
#: Time in seconds after which the socket of a delegated run is closed.
DELEGATED_IDLE_S = 120.0


def entry_point(method):
    """Make a method do nothing once the state was handed over.

    The successor answers for the records from then on, so a run here would
    be a second one.
    """

    @functools.wraps(method)
    def call(self, *args, **kwargs):
        if self._handed_over:
            return []
        return method(self, *args, **kwargs)

    return call


class RunSide:
    """Takes jobs from admission to their final answer.

    :param settings: settings of the gate.
    :param admission: decides which request runs where and when.
    :param retries: budget for repeated runs.
    :param rng: chooses first message ids and tokens.
    """

    def __init__(
        self,
        settings: GateSettings,
        admission: Admission,
        retries: Retries,
        rng: random.Random,
    ):
        self._settings = settings
        self._admission = admission
        self._retries = retries
        self._effects: list[Effect] = []
        self._echo = EchoKeeper(settings.incarnation, settings.echo_key)
        self._records = RecordTable()
        self._guard = Guard(self._echo, self._records)
        self._callers = CallerSide(self._emit, rng)
        self._upstreams = UpstreamSide(self._emit, rng, settings.max_flows)
        self._feeds = FeedTable(self._callers)
        self._jobs = JobTable()
        self._timers = Timers()
        self._run_by_token: dict[bytes, RunId] = {}
        self._next_run = 0
        self._handed_over = False
        self._slot_freed = False

    def set_settings(self, settings: GateSettings) -> None:
        """Use other deadlines and timeouts from now on."""
        self._settings = settings

    def _emit(self, effect: Effect) -> None:
        self._effects.append(effect)

    def _drain(self, now: float) -> Sequence[Effect]:
        while self._slot_freed:
            self._slot_freed = False
            for run_id in self._admission.tick(now):
                self._on_ready(run_id, now)
        effects, self._effects = self._effects, []
        return effects

    def _count(self, name: str, **labels: str) -> None:
        self._emit(Count(name, tuple(labels.items())))

    def _new_run_id(self) -> RunId:
        self._next_run += 1
        return RunId(
            self._settings.incarnation.to_bytes(8, 'big')
            + self._next_run.to_bytes(8, 'big')
        )

    # Start

    def _start(self, job: Job, now: float) -> None:
        """Ask admission for a new job and act on the decision."""
        if len(self._jobs.by_run) >= self._settings.max_runs:
            self._jobs.add(job)
            self._refuse(job, RETRY_AFTER_S, 'full', now)
            return
        self._jobs.add(job)
        self._timers.set(job.deadline, 'deadline', job.run_id)
        if now >= job.deadline:
            self._refuse(job, RETRY_AFTER_S, 'expired', now)
            return
        self._decide(job, now)

    def _decide(self, job: Job, now: float) -> None:
        decision = self._admission.decide(self._info(job), now)
        job.decided = True
        match decision:
            case RunHere():
                self._run_here(job, now)
            case RunAt(agent_id) if not job.pinned and job.origin is None:
                self._run_at(job, agent_id, now)
            case Wait(until) if job.origin is None:
                self._queue(job, until, now)
            case Refuse(retry_after_s):
                self._refuse(job, retry_after_s, 'admission', now)
            case _:
                if isinstance(decision, Wait):
                    self._finished(job, RunOutcome.CANCELLED, now)
                self._refuse(job, RETRY_AFTER_S, 'admission', now)

    def _info(self, job: Job) -> RequestInfo:
        return RequestInfo(
            run_id=job.run_id,
            flow=job.flow,
            deadline=job.deadline,
            idempotent=not job.guarded,
            pinned=job.pinned,
            delegated=job.origin is not None,
            exchange=not job.starts_exchange,
            declined=tuple(job.declined),
            counted=job.decided,
        )

    def _queue(self, job: Job, until: float, now: float) -> None:
        job.state = JobState.QUEUED
        job.started = now
        self._timers.set(min(until, job.deadline), 'queue', job.run_id)
        self._acknowledge(job)

    def _acknowledge(self, job: Job) -> None:
        for waiter in job.waiters:
            self._callers.acknowledge(waiter)

    def _run_here(self, job: Job, now: float) -> None:
        idle_s = self._settings.idle_timeout_s
        if job.origin is not None:
            idle_s = min(idle_s, DELEGATED_IDLE_S)
        if not self._upstreams.open(job.flow, idle_s, now):
            self._finished(job, RunOutcome.CANCELLED, now)
            self._refuse(job, RETRY_AFTER_S, 'flows', now)
            return
        message = coap.decode(job.datagram)
        message.opt.echo = None
        # A run ends with an answer, also if the caller wants none.
        message.opt.no_response = None
        job.deadline_ms = self._deadline_ms(job, now)
        coap.set_uint_option(message, coap.DEADLINE_MS, job.deadline_ms)
        known = self._feeds.of_flow(job.flow).get(job.observe)
        token = known.upstream_token if known else None
        job.state, job.started = JobState.RUNNING, now
        job.token = self._upstreams.send(
            job.flow, message, not job.guarded, now, token or None
        )
        self._run_by_token[job.token] = job.run_id
        self._admission.record_start(job.run_id, now)

    def _deadline_ms(self, job: Job, now: float) -> int:
        if not job.starts_exchange:
            site = self._jobs.find_site(job.site, now)
            if site is not None:
                return site.deadline_ms
        return max(1, int((job.deadline - now) * 1000))

    def _run_at(self, job: Job, agent_id: AgentId, now: float) -> None:
        raise NotImplementedError

    # End of a run

    def _on_answer(self, job: Job, message: Message, now: float) -> None:
        if message.code is Code.SERVICE_UNAVAILABLE:
            # An upstream that sheds says that it has not run the request.
            self._finished(job, RunOutcome.SHED, now)
            self._release(job, 'duplicated')
            if job.cancelled:
                # It may as well be the end of a run that was cancelled.
                self._failed(job, 'cancelled', now)
                return
            retry_after_s = message.opt.max_age
            if retry_after_s is None:
                retry_after_s = RETRY_AFTER_S
            self._not_run(job, retry_after_s, 'upstream', now)
            return
        if message.code is Code.GATEWAY_TIMEOUT:
            # The upstream has given the request up while it ran.
            self._finished(job, RunOutcome.TIMED_OUT, now)
            self._release(job, 'duplicated')
            self._failed(job, 'upstream', now)
            return
        self._finished(job, RunOutcome.COMPLETED, now)
        self._retries.deposit(now)
        if job.observe is not None and coap.is_notification(message):
            self._open_feed(job, message, now)
        else:
            self._release(job, 'duplicated')
            if job.replay:
                self._feeds.remove(job.flow, job.observe)
        self._complete(job, message, now)

    def _open_feed(self, job: Job, message: Message, now: float) -> None:
        self._run_by_token.pop(job.token, None)
        observation = self._feeds.of_flow(job.flow).get(job.observe)
        if observation is None:
            observation = Observation(job.observe, job.datagram, mids=[])
        observation.registration = job.datagram
        observation.upstream_token = job.token
        observation.upstream_sequence = message.opt.observe
        self._feeds.add(job.flow, observation)
        if not job.replay:
            message.opt.observe = self._feeds.next_sequence(observation)

    def _complete(self, job: Job, message: Message, now: float) -> None:
        """Give the result of a run to who asked for it."""
        message.opt.delete_option(coap.OUTCOME)
        message.opt.echo = None
        self._keep_site(job, message, now)
        if job.origin is not None:
            self._reply_result(job, message, now)
        elif job.replay:
            self._notify_replayed(job, message, now)
        else:
            self._answer(job, message, 'result', now)
        self._end(job)

    def _reply_result(self, job: Job, message: Message, now: float) -> None:
        raise NotImplementedError

    def _reply_failure(
        self, job: Job, retry_after_s: float | None, now: float
    ) -> None:
        raise NotImplementedError

    def _notify_replayed(self, job: Job, message: Message, now: float) -> None:
        raise NotImplementedError

    def _retry_replay(self, job: Job, after_s: float, now: float) -> None:
        raise NotImplementedError

    def _keep_site(self, job: Job, message: Message, now: float) -> None:
        block1, block2 = message.opt.block1, message.opt.block2
        if (block1 and block1.more) or (block2 and block2.more):
            site = Site(job.delegate, job.deadline_ms, now + SITE_LIFETIME_S)
            self._jobs.set_site(job.site, site, now)

    def _not_run(
        self, job: Job, retry_after_s: float, reason: str, now: float
    ) -> None:
        """Act on proof that this attempt was not run."""
        if self._may_retry(job, now):
            self._retry(job, now)
        else:
            self._refuse(job, retry_after_s, reason, now)

    def _failed(self, job: Job, reason: str, now: float) -> None:
        """Act on an attempt of which nobody knows whether it ran."""
        job.may_have_run = True
        if not job.guarded and self._may_retry(job, now):
            self._retry(job, now)
        else:
            self._give_up(job, reason, now)

    def _may_retry(self, job: Job, now: float) -> bool:
        return (
            job.origin is None
            and not job.cancelled
            and not job.replay
            and job.starts_exchange
            and job.retries < MAX_RETRIES
            and now < job.deadline
            and self._retries.try_spend(now)
        )

    def _retry(self, job: Job, now: float) -> None:
        self._count('gate_retries')
        job.retries += 1
        self._renew(job)
        self._timers.set(job.deadline, 'deadline', job.run_id)
        self._decide(job, now)

    def _renew(self, job: Job) -> None:
        """Give a job a new run id for its next attempt."""
        self._leave_delegate(job)
        self._jobs.remove(job)
        job.run_id = self._new_run_id()
        job.state, job.delegate, job.asked = JobState.NEW, None, 0
        self._jobs.add(job)
        part = self._guard.part(job.record, job.part)
        if part is not None:
            part.run_id = job.run_id

    # Final answers without a result

    def _refuse(
        self, job: Job, retry_after_s: float, reason: str, now: float
    ) -> None:
        """Answer that the request was not run, if that is certain."""
        if job.may_have_run:
            self._give_up(job, reason, now)
            return
        if job.origin is not None:
            self._reply_failure(job, retry_after_s, now)
        elif job.replay:
            self._retry_replay(job, retry_after_s, now)
        elif job.guarded and not job.record:
            self._answer(job, outcomes.busy(retry_after_s), 'busy', now)
        else:
            self._guard.refuse(job.record)
            message = outcomes.not_run(retry_after_s)
            self._count('gate_refusals', reason=reason)
            self._answer(job, message, 'not_run', now)
        self._end(job)

    def _give_up(self, job: Job, reason: str, now: float) -> None:
        """Answer that the outcome is unknown."""
        if (
            job.guarded
            and job.origin is None
            and not self._guard.may_have_run(job.record)
        ):
            # Only the last block of an upload makes the upstream run it.
            job.may_have_run = False
            self._refuse(job, RETRY_AFTER_S, reason, now)
            return
        if job.origin is not None:
            self._reply_failure(job, None, now)
        elif job.replay:
            self._retry_replay(job, RETRY_AFTER_S, now)
        else:
            self._count('gate_unknown_outcomes', reason=reason)
            message = outcomes.unknown(self._echo.issue(job.flow, now))
            self._answer(job, message, 'unknown', now)
        self._end(job)

    def _answer(
        self, job: Job, message: Message, outcome: str, now: float
    ) -> None:
        """Record an answer and send it to all who wait for it."""
        part = self._guard.part(job.record, job.part)
        detached = coap.encode_detached(message)
        if part is not None:
            self._records.set_answer(part, detached)
        for waiter in job.waiters:
            self._callers.answer(waiter, coap.decode(detached), now)
        labels = (('outcome', outcome),)
        self._emit(Measure('gate.request.latency', now - job.received, labels))
        self._emit(Measure('gate.request.size', len(job.datagram), labels))
        self._emit(Measure('gate.answer.size', len(detached), labels))

    def _finished(self, job: Job, outcome: RunOutcome, now: float) -> None:
        self._slot_freed = True
        self._admission.record_end(job.run_id, outcome, now - job.started, now)

    def _release(self, job: Job, reason: str) -> None:
        """Release the token, and the observation that it renewed."""
        self._run_by_token.pop(job.token, None)
        found = self._feeds.find(job.token)
        if found is not None:
            self._feeds.remove(job.flow, found[1].token)
        self._upstreams.end(job.token, reason)
        job.token = b''

    def _end(self, job: Job) -> None:
        self._leave_delegate(job)
        self._jobs.remove(job)
        socket = self._upstreams.state.sockets.get(job.flow)
        if socket is not None and socket.closing:
            self._close_when_unused(job.flow)

    def _close_when_unused(self, flow: FlowId) -> None:
        if not self._jobs.of_flow(flow) and not self._feeds.of_flow(flow):
            self._upstreams.close(flow)
            self._callers.close(flow)

    # Deadlines and cancellation

    def _on_deadline(self, job: Job, now: float) -> None:
        if job.state is JobState.QUEUED:
            self._finished(job, RunOutcome.CANCELLED, now)
            self._refuse(job, RETRY_AFTER_S, 'expired', now)
            return
        self._stop_run(job, RunOutcome.TIMED_OUT, now)
        job.may_have_run = True
        self._give_up(job, 'expired', now)

    def _on_ready(self, run_id: RunId, now: float) -> None:
        job = self._jobs.by_run.get(run_id)
        if job is None or job.state is not JobState.QUEUED:
            self._admission.record_end(run_id, RunOutcome.CANCELLED, 0.0, now)
        elif now >= job.deadline:
            self._on_deadline(job, now)
        else:
            self._run_here(job, now)

    def _on_queue_end(self, job: Job, now: float) -> None:
        """Ask admission again, as a peer may have a free slot by now."""
        if job.state is JobState.QUEUED:
            job.state = JobState.NEW
            self._decide(job, now)

    def _stop_run(self, job: Job, outcome: RunOutcome, now: float) -> None:
        """Stop to wait for a run and tell who runs it."""
        if job.state is JobState.RUNNING:
            self._cancel_upstream(job, now)
            self._finished(job, outcome, now)
            self._release(job, 'late')
        elif job.state is JobState.DELEGATED:
            self._cancel_delegate(job)

    def _cancel_delegate(self, job: Job) -> None:
        raise NotImplementedError

    def _leave_delegate(self, job: Job) -> None:
        raise NotImplementedError

    def _cancel_upstream(self, job: Job, now: float) -> None:
        message = coap.decode(job.datagram)
        request_id = coap.opaque_option(message, coap.REQUEST_ID)
        if request_id is None or job.cancelled:
            return
        cancel = Message(code=Code.DELETE)
        cancel.opt.uri_path = (*coap.REQUESTS_PATH, request_id.hex())
        token = self._upstreams.send(job.flow, cancel, False, now)
        # Nothing depends on the answer to a cancellation.
        self._upstreams.end(token, 'cancellation')

    def _cancel(self, job: Job, now: float) -> None:
        """Cancel a job for its caller."""
        if job.state is JobState.QUEUED:
            self._finished(job, RunOutcome.CANCELLED, now)
            self._refuse(job, RETRY_AFTER_S, 'cancelled', now)
            return
        if job.state is JobState.RUNNING:
            self._cancel_upstream(job, now)
        else:
            self._cancel_delegate(job)
        job.cancelled = True
        self._timers.set(now + CANCEL_GRACE_S, 'cancelled', job.run_id)

    def _on_cancel_end(self, job: Job, now: float) -> None:
        if job.state is JobState.RUNNING:
            self._finished(job, RunOutcome.CANCELLED, now)
            self._release(job, 'late')
        job.may_have_run = True
        self._give_up(job, 'cancelled', now)
