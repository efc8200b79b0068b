"""In-memory relatives of callers, upstreams and admission.

They do what the protocols allow and decide at random, so that histories
with the real gates reach states that a well-behaved system rarely has.
"""

from collections import Counter
import random
from typing import Protocol

from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from ibispitch.admission.types import Decision
from ibispitch.admission.types import Load
from ibispitch.admission.types import Refuse
from ibispitch.admission.types import RequestInfo
from ibispitch.admission.types import RunAt
from ibispitch.admission.types import RunHere
from ibispitch.admission.types import RunId
from ibispitch.admission.types import RunOutcome
from ibispitch.admission.types import Wait
from ibispitch.caller.echoes import EchoCache
from ibispitch.ids import AgentId
from ibispitch.ids import flow_id
from ibispitch.ids import FlowId
from ibispitch.requests import coap

DEADLINE_MS = 5000
#: Answers to a part that comes at the wrong time; they decide nothing.
ANSWERS_TO_PARTS = (Code.CONFLICT, Code.REQUEST_ENTITY_INCOMPLETE)
UPLOAD_BLOCKS = 3
SIZE_EXPONENT = 0
BLOCK_BYTES = 16
#: Share of the requests that an upstream sheds.
SHED_SHARE = 0.2
WAIT_S = 1.0


class Surroundings(Protocol):
    """What the models need of the world around them."""

    now: float
    rng: random.Random

    def send(self, kind: str, *fields) -> None:
        """Put a packet into the network."""

    def ran(self, request_id: bytes) -> None:
        """Note a run at an upstream."""


def body_of(request_id: bytes) -> bytes:
    """Return the right answer to a request."""
    return b'answer to ' + request_id


class RandomAdmission:
    """Decides at random among what the protocol allows."""

    def __init__(self, rng: random.Random, peers: list[AgentId]):
        self.rng = rng
        self.peers = peers
        self._waiting: list[RunId] = []

    def decide(self, request: RequestInfo, now: float) -> Decision:
        """Return any decision that is allowed for the request."""
        choices: list[Decision] = [RunHere(), RunHere(), Refuse(1.0)]
        if not request.delegated:
            choices.append(Wait(now + WAIT_S))
            if not request.pinned:
                choices += [RunAt(peer) for peer in self.peers]
        decision = self.rng.choice(choices)
        if isinstance(decision, Wait):
            self._waiting.append(request.run_id)
        return decision

    def record_start(self, run_id: RunId, now: float) -> None:
        """Ignore it; there is no limit."""

    def record_end(
        self,
        run_id: RunId,
        outcome: RunOutcome,
        latency_s: float,
        now: float,
    ) -> None:
        """Forget a run that waited."""
        if run_id in self._waiting:
            self._waiting.remove(run_id)

    def tick(self, now: float) -> list[RunId]:
        """Let one waiting run start at random."""
        if not self._waiting or self.rng.random() < 0.5:
            return []
        return [self._waiting.pop(0)]

    def load(self) -> Load:
        """Return an empty load."""
        return Load(0, 0, 1.0, len(self._waiting))


class FixedBudget:
    """A retry budget that is not filled up."""

    def __init__(self, retries: int):
        self._retries = retries

    def deposit(self, now: float) -> None:
        """Ignore it."""

    def try_spend(self, now: float) -> bool:
        """Spend one retry if one is left."""
        self._retries -= 1
        return self._retries >= 0


class UpstreamModel:
    """Runs a request when it is received and answers it later."""

    def __init__(self, world: Surroundings):
        self.world = world
        self.restart()

    def restart(self) -> None:
        """Forget everything, as a new process does."""
        self.seen = set()
        self.ready = []
        self.blocks = Counter()

    def receive(self, flow: FlowId, datagram: bytes) -> None:
        """Run a request, unless it is a copy of one."""
        message = coap.decode(datagram)
        if not message.code.is_request() or (flow, message.mid) in self.seen:
            return
        self.seen.add((flow, message.mid))
        if message.code is Code.DELETE:
            return
        if self.world.rng.random() < SHED_SHARE:
            answer = Message(code=Code.SERVICE_UNAVAILABLE)
        else:
            answer = self.answer(flow, message)
        self.ready.append(
            (flow, coap.encode(answer, Type.ACK, message.mid, message.token))
        )

    def answer(self, flow: FlowId, message: Message) -> Message:
        """Take a block in, or run the request."""
        request_id = coap.opaque_option(message, coap.REQUEST_ID)
        block = message.opt.block1
        if block is not None:
            if block.block_number not in (0, self.blocks[flow, request_id]):
                return Message(code=Code.REQUEST_ENTITY_INCOMPLETE)
            self.blocks[flow, request_id] = block.block_number + 1
            if block.more:
                return Message(code=Code.CONTINUE, block1=block)
        self.world.ran(request_id)
        return Message(
            code=Code.CHANGED, payload=body_of(request_id), block1=block
        )


class CallerModel:
    """A caller that follows the Echo rule."""

    def __init__(self, world: Surroundings, number: int):
        self.world = world
        self.flow = flow_id(('127.0.0.9', 20000 + number))
        self.cache = EchoCache()
        self.mid = number * 1000
        self.request_by_token: dict[bytes, bytes] = {}
        self.datagrams: list[bytes] = []
        self.answers: dict[bytes, set] = {}
        self.echo_by_id: dict[bytes, bytes] = {}
        self.uploads: set[bytes] = set()

    def new(self, is_upload: bool = False) -> None:
        """Send a new request."""
        request_id = b'%02d-%06d' % (self.flow[5] % 100, self.mid)
        self.answers[request_id] = set()
        if is_upload:
            self.uploads.add(request_id)
        self.send(request_id, self.cache.get(self.world.now))

    def send(
        self, request_id: bytes, echo: bytes | None, block: int = 0
    ) -> None:
        """Send a request, or one block of it."""
        if echo is not None:
            echo = self.cache.value_for_request(
                request_id, echo, self.world.now
            )
            self.echo_by_id[request_id] = echo
        self.mid += 1
        message = Message(code=Code.POST, payload=request_id)
        if request_id in self.uploads:
            more = block + 1 < UPLOAD_BLOCKS
            message.opt.block1 = (block, more, SIZE_EXPONENT)
            message.payload = request_id.ljust(BLOCK_BYTES)
        message.opt.uri_path = ('submit',)
        message.opt.echo = echo
        coap.set_opaque_option(message, coap.REQUEST_ID, request_id)
        coap.set_uint_option(message, coap.DEADLINE_MS, DEADLINE_MS)
        token = self.mid.to_bytes(4, 'big')
        datagram = coap.encode(message, Type.CON, self.mid, token)
        self.request_by_token[token] = request_id
        self.datagrams.append(datagram)
        self.world.send('caller', self.flow, datagram)

    def repeat_request(self, rng: random.Random) -> None:
        """Ask again under the same request id and Echo value."""
        if self.echo_by_id:
            self.send(*rng.choice(list(self.echo_by_id.items())))

    def cancel(self, request_id: bytes) -> None:
        """Cancel a request."""
        self.mid += 1
        message = Message(code=Code.DELETE)
        message.opt.uri_path = (*coap.REQUESTS_PATH, request_id.hex())
        datagram = coap.encode(message, Type.CON, self.mid, b'cancel')
        self.world.send('caller', self.flow, datagram)

    def receive(self, datagram: bytes) -> None:
        """Take an answer in; only the first one of a token counts."""
        message = coap.decode(datagram)
        if message.mtype is Type.CON:
            ack = coap.empty_message(Type.ACK, message.mid)
            self.world.send('caller', self.flow, ack)
        request_id = self.request_by_token.pop(message.token, None)
        if message.code is Code.EMPTY or request_id is None:
            return
        if message.code is Code.UNAUTHORIZED:
            if request_id not in self.echo_by_id:
                self.cache.set(message.opt.echo, self.world.now)
                self.send(request_id, message.opt.echo)
            return
        if message.code is Code.CONTINUE:
            block = message.opt.block1.block_number + 1
            self.send(request_id, self.echo_by_id.get(request_id), block)
            return
        if message.code in ANSWERS_TO_PARTS:
            return
        outcome = coap.uint_option(message, coap.OUTCOME)
        if outcome == 2:
            self.cache.set(message.opt.echo, self.world.now)
        self.answers[request_id].add((outcome, message.payload))
