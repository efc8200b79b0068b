"""Gate for CoAP (RFC 7252, 7641, 7959, 9175)."""

from collections.abc import Sequence
import random

from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
import msgspec

from ibispitch.admission.types import Admission
from ibispitch.admission.types import Retries
from ibispitch.admission.types import RunOutcome
from ibispitch.decoding import decode_msgpack
from ibispitch.ids import AgentId
from ibispitch.ids import FLOW_ID_BYTES
from ibispitch.ids import FlowId
from ibispitch.ids import RequestId
from ibispitch.requests import coap
from ibispitch.requests import guard
from ibispitch.requests import outcomes
from ibispitch.requests.delegation import DelegatingGate
from ibispitch.requests.echo import ECHO_LIFETIME_S
from ibispitch.requests.effects import Effect
from ibispitch.requests.effects import OpenSocket
from ibispitch.requests.effects import RelayToIssuer
from ibispitch.requests.feeds import is_newer
from ibispitch.requests.feeds import Observation
from ibispitch.requests.handover import FlowExport
from ibispitch.requests.handover import Snapshot
from ibispitch.requests.jobs import Job
from ibispitch.requests.jobs import JobState
from ibispitch.requests.records import record_key
from ibispitch.requests.registry import GateSettings
from ibispitch.requests.registry import register_gate
from ibispitch.requests.runs import DEFAULT_RETRY_AFTER_S
from ibispitch.requests.runs import unless_handed_over

#: Size of the fixed part of a CoAP header.
HEADER_BYTES = 4
#: Codes of requests are lower than this (RFC 7252, section 12.1).
FIRST_RESPONSE_CODE = 32
#: Maximum number of copies of a request that wait for the same run.
MAX_WAITERS = 8
#: Maximum number of incarnations, namely this process and its predecessors,
#: whose Echo values a gate accepts.
MAX_INCARNATIONS = 8
#: Time in seconds for which a second copy of an exported flow is recognised.
EXPORT_LIFETIME_S = 2 * ECHO_LIFETIME_S
#: Interval in seconds at which expired state is removed.
EXPIRE_INTERVAL_S = 1.0


@register_gate('coap')
class CoapGate(DelegatingGate):
    """Gate between the callers of a CoAP service and one upstream."""

    def __init__(
        self,
        settings: GateSettings,
        admission: Admission,
        retries: Retries,
        rng: random.Random,
    ):
        super().__init__(settings, admission, retries, rng)
        self._adopted_exports: dict[bytes, float] = {}
        self._export_count = 0
        self._next_expiry = 0.0

    # Callers

    @staticmethod
    def opens_flow(datagram: bytes) -> bool:
        """Return whether a datagram can be the first one of a flow.

        Only a request can. Acknowledgements and resets refer to a message
        that some agent has sent before, and anything else is malformed.

        >>> CoapGate.opens_flow(bytes.fromhex('40010001'))
        True
        >>> CoapGate.opens_flow(bytes.fromhex('60000001'))
        False
        """
        return (
            len(datagram) >= HEADER_BYTES
            and datagram[0] >> 6 == 1
            and 0 < datagram[1] < FIRST_RESPONSE_CODE
        )

    @unless_handed_over
    def on_caller_datagram(
        self, flow: FlowId, datagram: bytes, now: float, relayed: bool = False
    ) -> Sequence[Effect]:
        """Handle a datagram of a caller.

        :param relayed: whether another agent relayed it because of its Echo
            value. If so, it is not relayed again.
        """
        try:
            message = coap.decode(datagram)
        except coap.MalformedError:
            self._on_malformed(flow, datagram, now)
            return self._take_effects(now)
        if message.code is Code.EMPTY:
            self._on_empty(flow, message, now)
        elif message.code.is_request():
            self._on_request(flow, message, datagram, now, relayed)
        else:
            self._count('gate_malformed', reason='unexpected')
        return self._take_effects(now)

    def _on_malformed(self, flow: FlowId, datagram: bytes, now: float) -> None:
        self._count('gate_malformed', reason='decode')
        if len(datagram) < 4 or datagram[0] >> 6 != 1:
            return
        token_length = datagram[0] & 0x0F
        token = datagram[4 : 4 + token_length]
        is_request = 0 < datagram[1] < 32
        is_confirmable = datagram[0] & 0x30 == 0
        if (
            is_request
            and is_confirmable
            and len(token) == token_length <= coap.MAX_TOKEN_BYTES
        ):
            head = Message(code=Code(datagram[1]))
            head.mid = int.from_bytes(datagram[2:4], 'big')
            head.mtype, head.token = Type.CON, token
            key = self._callers.receive(flow, head, datagram, now)
            if key is not None:
                answer = outcomes.bad_request('malformed message')
                self._callers.send_answer(key, answer, now)

    def _on_empty(self, flow: FlowId, message: Message, now: float) -> None:
        if message.mtype is Type.CON:
            self._callers.send_reset(flow, message.mid)
            return
        outgoing = self._callers.stop_repeating(flow, message.mid)
        if message.mtype is not Type.RST:
            return
        found = self._feeds.find_by_mid(flow, message.mid)
        if found is not None:
            self._end_feed(flow, found.token, now)
        elif outgoing is not None and outgoing.feed is not None:
            self._end_feed(flow, outgoing.feed, now)

    def _on_request(
        self,
        flow: FlowId,
        message: Message,
        datagram: bytes,
        now: float,
        relayed: bool,
    ) -> None:
        key = self._callers.receive(flow, message, datagram, now)
        if key is None:
            return
        path = message.opt.uri_path
        if message.code is Code.DELETE and path[:2] == coap.REQUESTS_PATH:
            self._callers.send_answer(
                key, self._cancel_by_id(flow, path, now), now
            )
            return
        job = Job(
            run_id=self._new_run_id(),
            flow=flow,
            datagram=datagram,
            guarded=guard.is_guarded(message),
            received=now,
            deadline=now + self._deadline_s(message),
            waiters=[key],
            part=coap.part_of(message),
            site=flow + coap.exchange_digest(message),
        )
        job.starts_exchange = job.part == (0, 0)
        if job.guarded and not self._check_guard(
            job, message, key, now, relayed
        ):
            return
        if message.opt.observe == 1:
            self._end_feed(flow, message.token, now)
        elif message.opt.observe == 0 and message.code in (
            Code.GET,
            Code.FETCH,
        ):
            if not self._feeds.has_room(flow, message.token):
                self._jobs.add(job)
                self._refuse(job, DEFAULT_RETRY_AFTER_S, 'feeds', now)
                return
            job.observe = message.token
        self._start_or_continue(job, message, now)

    def _start_or_continue(
        self, job: Job, message: Message, now: float
    ) -> None:
        """Start a job at the agent that has run the rest of its exchange."""
        site = self._jobs.find_site(job.site, now)
        if not job.starts_exchange and site is not None and site.delegate:
            self._continue_at_delegate(job, site.delegate, now)
            return
        job.pinned = (
            job.observe is not None
            or message.opt.block1 is not None
            or not job.starts_exchange
        )
        self._start(job, now)

    def _continue_at_delegate(
        self, job: Job, agent_id: AgentId, now: float
    ) -> None:
        self._jobs.add(job)
        self._timers.set(job.deadline, 'deadline', job.run_id)
        if agent_id in self._incarnation_by_agent:
            self._run_at_peer(job, agent_id, now)
        else:
            self._answer_unknown(job, 'delegate', now)

    def _deadline_s(self, message: Message) -> float:
        remaining_ms = coap.uint_option(message, coap.DEADLINE_MS)
        if remaining_ms is None:
            return self._settings.deadline_default_s
        return min(remaining_ms / 1000, self._settings.deadline_max_s)

    def _check_guard(
        self,
        job: Job,
        message: Message,
        key: bytes,
        now: float,
        relayed: bool,
    ) -> bool:
        """Check the Echo value and the record of a request.

        :returns: whether the job may start; if not, the request has been
            answered, relayed or joined to the run in progress.
        """
        verdict = self._guard.admit(
            job.flow, message, job.datagram, job.run_id, job.deadline, now
        )
        match verdict:
            case guard.Run(record, deadline):
                job.record = record
                job.deadline = min(job.deadline, deadline)
                return True
            case guard.Answer(answer, reason):
                self._count('gate_not_admitted', reason=reason)
                self._callers.send_answer(key, answer, now)
            case guard.Join(run_id):
                self._join_run(run_id, key, now)
            case guard.Relay(incarnation):
                self._relay_to_issuer(job, incarnation, key, now, relayed)
        return False

    def _join_run(self, run_id: bytes, key: bytes, now: float) -> None:
        self._count('gate_repeated_requests')
        job = self._jobs.by_run[run_id]
        if len(job.waiters) >= MAX_WAITERS:
            self._callers.forget_exchange(key)
            return
        job.waiters.append(key)
        if job.state is not JobState.RUNNING:
            self._callers.acknowledge(key)

    def _relay_to_issuer(
        self, job: Job, incarnation: int, key: bytes, now: float, relayed: bool
    ) -> None:
        issuer = next(
            (
                agent_id
                for agent_id, present in self._incarnation_by_agent.items()
                if present == incarnation
            ),
            None,
        )
        if issuer is not None and not relayed:
            self._callers.forget_exchange(key)
            self._emit(RelayToIssuer(issuer, job.flow, job.datagram))
            return
        self._count('gate_not_admitted', reason='other_incarnation')
        echo = self._echo.issue(job.flow, now)
        self._callers.send_answer(key, outcomes.unknown(echo), now)

    def _cancel_by_id(
        self, flow: FlowId, path: Sequence[str], now: float
    ) -> Message:
        try:
            request_id = RequestId(bytes.fromhex(path[2]))
        except (ValueError, IndexError):
            return outcomes.bad_request('use /.well-known/requests/<hex id>')
        key = record_key(flow, request_id)
        record = self._records.find(key, now)
        if record is None:
            return Message(code=Code.NOT_FOUND)
        runs = [part.run_id for part in record.parts.values() if part.run_id]
        for run_id in runs:
            job = self._jobs.by_run[run_id]
            if not job.cancelled:
                self._cancel(job, now)
        if not runs and self._guard.may_have_run(key):
            return Message(code=Code.NOT_FOUND)
        if not self._guard.may_have_run(key):
            self._guard.refuse(key)
        return Message(code=Code.DELETED)

    # Upstream

    @unless_handed_over
    def on_upstream_datagram(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Handle a datagram that the upstream sent to the socket of a flow."""
        received = self._upstreams.receive(flow, datagram, now)
        if received is not None:
            token, message = received
            job = self._jobs.by_run.get(self._run_by_token.get(token))
            if job is not None and message is None:
                self._on_run_error(job, 'reset', now)
            elif job is not None:
                self._on_answer(job, message, now)
            elif message is not None:
                self._on_notification(token, message, now)
        return self._take_effects(now)

    @unless_handed_over
    def on_upstream_refused(
        self, flow: FlowId, datagram: bytes, now: float
    ) -> Sequence[Effect]:
        """Handle a datagram that no socket of the upstream has accepted.

        The upstream process no longer exists, so its runs have ended.

        :param datagram: the datagram that was refused, or that was not sent
            because the error of an earlier one was pending. In both cases it
            was not run.
        """
        token = self._upstreams.match_refused(flow, datagram)
        job = self._jobs.by_run.get(self._run_by_token.get(token))
        self._end_upstream_runs(job, now)
        if job is not None:
            self._record_run_end(job, RunOutcome.UNREACHABLE, now)
            self._release_token(job, 'late')
            self._on_not_run(job, DEFAULT_RETRY_AFTER_S, 'unreachable', now)
        return self._take_effects(now)

    @unless_handed_over
    def on_upstream_lost(self, now: float) -> Sequence[Effect]:
        """Handle the loss of the upstream process.

        Requests that it had received may have run. Its observations are
        ended, so that the callers register again at another upstream.
        """
        self._end_upstream_runs(None, now)
        return self._take_effects(now)

    def _end_upstream_runs(self, refused: Job | None, now: float) -> None:
        for run_id in list(self._run_by_token.values()):
            job = self._jobs.by_run.get(run_id)
            if job is not None and job is not refused:
                self._on_run_error(job, 'unreachable', now)
        for flow, feeds in list(self._feeds.state.by_flow.items()):
            for observation in list(feeds.values()):
                self._callers.send_confirmable(
                    flow,
                    outcomes.busy(DEFAULT_RETRY_AFTER_S),
                    observation.token,
                    now,
                )
                self._feeds.remove(flow, observation.token)
                self._upstreams.end_request(observation.upstream_token, 'late')

    def _on_run_error(self, job: Job, reason: str, now: float) -> None:
        self._record_run_end(job, RunOutcome.UNREACHABLE, now)
        self._release_token(job, 'late')
        self._on_unknown_outcome(job, reason, now)

    def _on_notification(
        self, token: bytes, message: Message, now: float
    ) -> None:
        found = self._feeds.find(token)
        if found is None:
            return
        flow, observation = found
        if not coap.is_notification(message):
            self._feeds.remove(flow, observation.token)
            self._upstreams.end_request(token, 'late')
            message.opt.observe = None
            self._callers.send_confirmable(
                flow, message, observation.token, now
            )
            return
        number = message.opt.observe
        if not is_newer(number, observation.upstream_sequence):
            self._count('gate_answers_dropped', reason='old_notification')
            return
        observation.upstream_sequence = number
        self._feeds.send_notification(flow, observation, message, now)

    def _end_feed(self, flow: FlowId, token: bytes, now: float) -> None:
        """End an observation and deregister it from the upstream."""
        observation = self._feeds.remove(flow, token)
        if observation is None or not observation.upstream_token:
            return
        if flow in self._upstreams.state.sockets:
            message = coap.decode(observation.registration)
            message.opt.observe = 1
            message.opt.echo = None
            coap.set_uint_option(message, coap.DEADLINE_MS, None)
            self._upstreams.send(
                flow, message, False, now, observation.upstream_token
            )
        self._upstreams.end_request(observation.upstream_token, 'cancellation')

    # Flows

    @unless_handed_over
    def close_flow(self, flow: FlowId, now: float) -> Sequence[Effect]:
        """End a flow that another agent owns from now on.

        Running requests are still answered, and the socket is closed after
        the last one.
        """
        for job in self._jobs.of_flow(flow):
            if job.state is JobState.QUEUED:
                self._on_wait_end(job, now)
        for token in list(self._feeds.of_flow(flow)):
            self._end_feed(flow, token, now)
        socket = self._upstreams.state.sockets.get(flow)
        if socket is not None:
            socket.closing = True
            self._close_flow_if_unused(flow)
        return self._take_effects(now)

    def export_flow(
        self, flow: FlowId, now: float
    ) -> tuple[bytes | None, Sequence[Effect]]:
        """Export a flow for :meth:`adopt_flow` of another agent.

        From now on this gate rejects the Echo values that were issued for
        the flow before, so that only one agent uses its records.

        :returns: the exported flow, or ``None`` while its requests wait or
            run, and the effects.
        """
        if self._handed_over or self._jobs.of_flow(flow):
            return None, []
        self._export_count += 1
        export = FlowExport(
            self._settings.incarnation.to_bytes(8, 'big')
            + self._export_count.to_bytes(8, 'big'),
            flow,
            now,
            list(self._feeds.of_flow(flow).values()),
            self._echo.hand_over(flow, now),
            self._records.remove_flow(flow),
        )
        data = msgspec.msgpack.encode(export)
        return data, self.close_flow(flow, now)

    @unless_handed_over
    def adopt_flow(self, data: bytes, now: float) -> Sequence[Effect]:
        """Adopt a flow that another agent has exported.

        Its observations are registered at the upstream of this agent. A
        second copy of an export is ignored.

        :raises ValueError: if the data is not an exported flow.
        """
        export = decode_msgpack(data, FlowExport)
        if export.export_id in self._adopted_exports:
            return []
        self._adopted_exports[export.export_id] = now + EXPORT_LIFETIME_S
        offset_s = now - export.now
        flow = export.flow
        for record in export.records.values():
            record.expires += offset_s
            record.deadline += offset_s
        # Without the records, the Echo values would allow a second run.
        if all(
            self._records.find(key, now) or self._records.add(key, record)
            for key, record in export.records.items()
        ):
            self._echo.take_over(flow, export.echo_values, offset_s)
        else:
            self._count('gate_records_lost')
        for observation in export.observations:
            observation.upstream_token = b''
            observation.mids = []
            self._feeds.add(flow, observation)
            self._replay_registration(flow, observation, now)
        return self._take_effects(now)

    def _replay_registration(
        self, flow: FlowId, observation: Observation, now: float
    ) -> None:
        message = coap.decode(observation.registration)
        job = Job(
            run_id=self._new_run_id(),
            flow=flow,
            datagram=observation.registration,
            guarded=False,
            received=now,
            deadline=now + self._settings.deadline_default_s,
            pinned=True,
            observe=observation.token,
            replay=True,
            site=flow + coap.exchange_digest(message),
            starts_exchange=True,
        )
        self._start(job, now)

    def _schedule_replay(self, job: Job, after_s: float, now: float) -> None:
        key = job.flow + job.observe
        self._timers.set(
            now + max(after_s, DEFAULT_RETRY_AFTER_S), 'replay', key
        )

    def _on_replay_due(self, key: bytes, now: float) -> None:
        flow, token = FlowId(key[:FLOW_ID_BYTES]), key[FLOW_ID_BYTES:]
        observation = self._feeds.of_flow(flow).get(token)
        if observation is not None and not observation.upstream_token:
            self._replay_registration(flow, observation, now)

    def _notify_replayed(self, job: Job, message: Message, now: float) -> None:
        observation = self._feeds.of_flow(job.flow).get(job.observe)
        message.mtype = Type.CON
        if observation is not None:
            self._feeds.send_notification(job.flow, observation, message, now)
        else:
            message.opt.observe = None
            self._callers.send_confirmable(job.flow, message, job.observe, now)

    # Time

    @unless_handed_over
    def tick(self, now: float) -> Sequence[Effect]:
        """Handle timers that are due; call it at least every 50 ms."""
        self._may_have_free_slot = True
        for kind, key in self._timers.pop_due(now):
            if kind == 'replay':
                self._on_replay_due(key, now)
                continue
            job = self._jobs.by_run.get(key)
            if job is not None:
                self._job_timers[kind](self, job, now)
        for flow, token in self._callers.tick(now):
            self._end_feed(flow, token, now)
        for flow in self._upstreams.tick(now):
            self._close_flow_if_unused(flow)
        self._expire_state(now)
        return self._take_effects(now)

    _job_timers = {
        'deadline': DelegatingGate._on_deadline,
        'queue': DelegatingGate._on_wait_end,
        'ask': DelegatingGate._on_ask_due,
        'cancelled': DelegatingGate._on_cancel_timeout,
    }

    def _expire_state(self, now: float) -> None:
        if now < self._next_expiry:
            return
        self._next_expiry = now + EXPIRE_INTERVAL_S
        self._records.expire(now)
        self._delegated_runs.expire(now)
        self._echo.expire(now)
        for key in [
            k for k, until in self._adopted_exports.items() if until <= now
        ]:
            del self._adopted_exports[key]

    # Successor

    def export(self, now: float) -> bytes:
        """Return the state for a successor process on the same host.

        This gate does nothing afterwards, as the successor uses the records
        from now on.
        """
        self._handed_over = True
        snapshot = Snapshot(
            self._echo.state,
            self._records.state,
            self._delegated_runs.state,
            self._callers.state,
            self._callers.timers.dump(),
            self._upstreams.state,
            self._upstreams.timers.dump(),
            self._feeds.state,
            list(self._jobs.by_run.values()),
            self._jobs.sites,
            self._timers.dump(),
            self._adopted_exports,
        )
        return msgspec.msgpack.encode(snapshot)

    def restore(self, data: bytes, now: float) -> Sequence[Effect]:
        """Continue from the state of a predecessor; call it on a new gate.

        It calls ``record_start`` of admission for each run in progress and
        ``decide`` for each waiting one.

        :raises ValueError: if the data is not an exported state.
        """
        snapshot = decode_msgpack(data, Snapshot)
        keys = list((snapshot.echo.keys | self._echo.state.keys).items())
        snapshot.echo.keys = dict(keys[-MAX_INCARNATIONS:])
        self._echo.state = snapshot.echo
        self._records.restore(snapshot.records)
        self._delegated_runs.state = snapshot.runs
        self._callers.state = snapshot.callers
        self._callers.timers.load(snapshot.caller_timers)
        self._upstreams.state = snapshot.upstreams
        self._upstreams.timers.load(snapshot.upstream_timers)
        self._feeds.state = snapshot.feeds
        self._jobs.sites = snapshot.sites
        self._adopted_exports = snapshot.adopted
        self._timers.load(snapshot.timers)
        for flow in self._upstreams.state.sockets:
            self._emit(OpenSocket(FlowId(flow)))
        for job in snapshot.jobs:
            self._restore_job(job, now)
        return self._take_effects(now)

    def _restore_job(self, job: Job, now: float) -> None:
        self._jobs.add(job)
        if job.state is JobState.RUNNING:
            self._run_by_token[job.token] = job.run_id
            self._admission.record_start(job.run_id, now)
        elif job.state is JobState.QUEUED:
            self._decide(job, now)
        elif job.state is JobState.DELEGATED:
            self._run_by_delegated_run[job.asked_as] = job.run_id
