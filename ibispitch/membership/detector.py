"""SWIM failure detector: probes balancers and finds those that are LOST."""

from collections.abc import Iterable
import random
from typing import NamedTuple

import xxhash

from ibispitch.ids import Address
from ibispitch.ids import BalancerId
from ibispitch.membership.messages import Ack
from ibispitch.membership.messages import Ping
from ibispitch.membership.messages import PingRequest
from ibispitch.membership.messages import Suspicion
from ibispitch.membership.records import BalancerRecord
from ibispitch.spread import SendDatagram

PROBE_INTERVAL_S = 1.0
#: A direct probe that is not answered in this time is followed by indirect
#: probes, and these after the same time by a suspicion.
PROBE_TIMEOUT_S = 0.3
INDIRECT_PROBE_COUNT = 3
SUSPICION_TIMEOUT_S = 3.0
#: An ack that arrives later than this is ignored.
NONCE_LIFETIME_S = 5.0


class _Probe(NamedTuple):
    sent_at: float
    is_indirect: bool


class _SentPing(NamedTuple):
    """A ping that was sent.

    :param requester: balancer on whose behalf it was sent, if any.
    :param requester_nonce: nonce of that balancer's request.
    """

    target: BalancerId
    at: float
    requester: Address | None = None
    requester_nonce: int = 0


class FailureDetector:
    """Probes that one balancer sends to its peers.

    Each second it probes one random peer, and the next one in the order of
    hashed identifiers. With random choices alone, a balancer would get no
    probe for 5 s about once in 150 times; the fixed order prevents this.

    :param self_id: identifier of this balancer.
    :param rng: source of the order of probes and of nonces.
    """

    def __init__(self, self_id: BalancerId, rng: random.Random):
        self._self_id = self_id
        self._rng = rng
        self._successor: BalancerId | None = None
        self._peer_by_id: dict[BalancerId, BalancerRecord] = {}
        self._probe_order: list[BalancerId] = []
        self._probe_by_target: dict[BalancerId, _Probe] = {}
        self._probe_due = 0.0
        self._sent_by_nonce: dict[int, _SentPing] = {}
        self._suspected_at: dict[BalancerId, float] = {}

    def set_peers(self, records: Iterable[BalancerRecord]) -> None:
        """Set the balancers to probe."""
        self._peer_by_id = {record.balancer_id: record for record in records}
        self._successor = min(
            self._peer_by_id, key=self._ring_distance, default=None
        )
        self._suspected_at = {
            balancer_id: at
            for balancer_id, at in self._suspected_at.items()
            if balancer_id in self._peer_by_id
        }

    def end_suspicion(self, balancer_id: BalancerId) -> None:
        """End the suspicion and the running probe of a balancer."""
        self._suspected_at.pop(balancer_id, None)
        self._probe_by_target.pop(balancer_id, None)

    def reset(self) -> None:
        """Discard all probes and suspicions after a pause."""
        self._probe_by_target.clear()
        self._suspected_at.clear()
        self._sent_by_nonce.clear()

    def tick(self, now: float) -> tuple[list[SendDatagram], list[BalancerId]]:
        """Send the probes that are due.

        :param now: monotonic time in seconds.
        :returns: messages to send and the balancers that are now LOST.
        """
        sends = [
            send
            for target, probe in list(self._probe_by_target.items())
            for send in self._check_probe_timeout(target, probe, now)
        ]
        if now >= self._probe_due:
            self._probe_due = now + PROBE_INTERVAL_S
            self._drop_old_nonces(now)
            for suspect in self._suspected_at:
                sends += self._ping(_SentPing(suspect, now))
                sends += self._ping_requests(suspect, now)
            for target in (self._next_target(), self._successor):
                if target is not None:
                    sends += self._probe(target, now)
        lost = [
            suspect
            for suspect, at in self._suspected_at.items()
            if now - at >= SUSPICION_TIMEOUT_S
        ]
        for suspect in lost:
            self.end_suspicion(suspect)
        return sends, lost

    def on_ack(self, nonce: int) -> list[SendDatagram]:
        """Handle an answer to a probe.

        :returns: the answer to the balancer that requested the probe.
        """
        sent = self._sent_by_nonce.pop(nonce, None)
        if sent is None:
            return []
        self.end_suspicion(sent.target)
        if sent.requester is None:
            return []
        return [SendDatagram(sent.requester, Ack(sent.requester_nonce))]

    def on_ping_request(
        self, requester: Address, message: PingRequest, now: float
    ) -> list[SendDatagram]:
        """Probe a balancer on behalf of another one."""
        if message.target not in self._peer_by_id:
            return []
        sent = _SentPing(message.target, now, requester, message.nonce)
        return self._ping(sent)

    def _ping(self, sent: _SentPing) -> list[SendDatagram]:
        nonce = self._rng.getrandbits(32)
        self._sent_by_nonce[nonce] = sent
        address = self._peer_by_id[sent.target].control_address
        return [SendDatagram(address, Ping(nonce))]

    def _ping_requests(
        self, target: BalancerId, now: float
    ) -> list[SendDatagram]:
        helpers = self._random_helpers(target)
        sends = []
        for helper in helpers:
            nonce = self._rng.getrandbits(32)
            self._sent_by_nonce[nonce] = _SentPing(target, now)
            sends.append(
                SendDatagram(
                    helper.control_address, PingRequest(nonce, target)
                )
            )
        return sends

    def _random_helpers(self, target: BalancerId) -> list[BalancerRecord]:
        others = [
            record
            for balancer_id, record in self._peer_by_id.items()
            if balancer_id != target
        ]
        return self._rng.sample(others, min(INDIRECT_PROBE_COUNT, len(others)))

    def _ring_distance(self, balancer_id: BalancerId) -> int:
        own = xxhash.xxh3_64_intdigest(self._self_id.encode())
        return (xxhash.xxh3_64_intdigest(balancer_id.encode()) - own) % 2**64

    def _probe(self, target: BalancerId, now: float) -> list[SendDatagram]:
        if target in self._suspected_at or target in self._probe_by_target:
            return []
        self._probe_by_target[target] = _Probe(now, False)
        return self._ping(_SentPing(target, now))

    def _check_probe_timeout(
        self, target: BalancerId, probe: _Probe, now: float
    ) -> list[SendDatagram]:
        if now - probe.sent_at < PROBE_TIMEOUT_S:
            return []
        if not probe.is_indirect and target in self._peer_by_id:
            self._probe_by_target[target] = _Probe(now, True)
            return self._ping_requests(target, now)
        del self._probe_by_target[target]
        if target not in self._peer_by_id:
            return []
        self._suspected_at[target] = now
        return self._suspicion_messages(target)

    def _suspicion_messages(self, target: BalancerId) -> list[SendDatagram]:
        """Return messages to the suspect, directly and through others."""
        record = self._peer_by_id[target]
        message = Suspicion(target, record.incarnation, record.sequence)
        return [
            SendDatagram(to.control_address, message)
            for to in [record, *self._random_helpers(target)]
        ]

    def _next_target(self) -> BalancerId | None:
        """Return the next balancer in a random order of all balancers.

        Each balancer is probed once before any is probed again, which limits
        the time until a failure is detected.
        """
        while self._probe_order or self._peer_by_id:
            if not self._probe_order:
                self._probe_order = sorted(self._peer_by_id)
                self._rng.shuffle(self._probe_order)
            target = self._probe_order.pop()
            if target in self._peer_by_id and target not in self._suspected_at:
                return target
            if self._peer_by_id.keys() <= self._suspected_at.keys():
                return None
        return None

    def _drop_old_nonces(self, now: float) -> None:
        self._sent_by_nonce = {
            nonce: sent
            for nonce, sent in self._sent_by_nonce.items()
            if now - sent.at < NONCE_LIFETIME_S
        }
