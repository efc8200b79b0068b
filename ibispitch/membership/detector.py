"""SWIM failure detector: whom to probe, to suspect and to declare LOST."""

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
#: A direct probe without answer is followed by indirect ones, and they by
#: a suspicion, each after this time.
PROBE_TIMEOUT_S = 0.3
INDIRECT_PROBES = 3
SUSPICION_S = 3.0
#: Nonces of probes are forgotten after this time.
NONCE_S = 5.0


class _Probe(NamedTuple):
    sent_at: float
    is_indirect: bool


class _Sent(NamedTuple):
    """A ping that was sent, by itself or on behalf of another balancer."""

    target: BalancerId
    at: float
    requester: Address | None = None
    requester_nonce: int = 0


class FailureDetector:
    """Probes of one balancer.

    Each second it probes one random peer, and the next one in the order of
    hashed identifiers. Random choices alone leave a balancer without a probe
    for 5 s about once in 150 times; the fixed order closes these gaps.

    :param self_id: identifier of this balancer.
    :param rng: source of the order of probes and of nonces.
    """

    def __init__(self, self_id: BalancerId, rng: random.Random):
        self._self_id = self_id
        self._rng = rng
        self._successor: BalancerId | None = None
        self._present: dict[BalancerId, BalancerRecord] = {}
        self._order: list[BalancerId] = []
        self._probe_by_target: dict[BalancerId, _Probe] = {}
        self._probe_due = 0.0
        self._sent_by_nonce: dict[int, _Sent] = {}
        self._suspected_at: dict[BalancerId, float] = {}

    def present(self, records: Iterable[BalancerRecord]) -> None:
        """Set the balancers that are to be probed."""
        self._present = {record.balancer_id: record for record in records}
        self._successor = min(
            self._present, key=self._ring_distance, default=None
        )
        self._suspected_at = {
            balancer_id: at
            for balancer_id, at in self._suspected_at.items()
            if balancer_id in self._present
        }

    def clear(self, balancer_id: BalancerId) -> None:
        """End the suspicion and the probe of a balancer."""
        self._suspected_at.pop(balancer_id, None)
        self._probe_by_target.pop(balancer_id, None)

    def reset(self) -> None:
        """Forget all probes and suspicions, after a pause."""
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
            for send in self._check_probe(target, probe, now)
        ]
        if now >= self._probe_due:
            self._probe_due = now + PROBE_INTERVAL_S
            self._forget_nonces(now)
            for suspect in self._suspected_at:
                sends += self._ping(_Sent(suspect, now))
                sends += self._ping_requests(suspect, now)
            for target in (self._next_target(), self._successor):
                if target is not None:
                    sends += self._probe(target, now)
        lost = [
            suspect
            for suspect, at in self._suspected_at.items()
            if now - at >= SUSPICION_S
        ]
        for suspect in lost:
            self.clear(suspect)
        return sends, lost

    def on_ack(self, nonce: int) -> list[SendDatagram]:
        """Handle an answer to a probe.

        :returns: the answer for the balancer that asked for the probe.
        """
        sent = self._sent_by_nonce.pop(nonce, None)
        if sent is None:
            return []
        self.clear(sent.target)
        if sent.requester is None:
            return []
        return [SendDatagram(sent.requester, Ack(sent.requester_nonce))]

    def on_request(
        self, requester: Address, message: PingRequest, now: float
    ) -> list[SendDatagram]:
        """Probe a balancer on behalf of another one."""
        if message.target not in self._present:
            return []
        sent = _Sent(message.target, now, requester, message.nonce)
        return self._ping(sent)

    def _ping(self, sent: _Sent) -> list[SendDatagram]:
        nonce = self._rng.getrandbits(32)
        self._sent_by_nonce[nonce] = sent
        address = self._present[sent.target].control_address
        return [SendDatagram(address, Ping(nonce))]

    def _ping_requests(
        self, target: BalancerId, now: float
    ) -> list[SendDatagram]:
        helpers = self._helpers(target)
        sends = []
        for helper in helpers:
            nonce = self._rng.getrandbits(32)
            self._sent_by_nonce[nonce] = _Sent(target, now)
            sends.append(
                SendDatagram(
                    helper.control_address, PingRequest(nonce, target)
                )
            )
        return sends

    def _helpers(self, target: BalancerId) -> list[BalancerRecord]:
        others = [
            record
            for balancer_id, record in self._present.items()
            if balancer_id != target
        ]
        return self._rng.sample(others, min(INDIRECT_PROBES, len(others)))

    def _ring_distance(self, balancer_id: BalancerId) -> int:
        own = xxhash.xxh3_64_intdigest(self._self_id.encode())
        return (xxhash.xxh3_64_intdigest(balancer_id.encode()) - own) % 2**64

    def _probe(self, target: BalancerId, now: float) -> list[SendDatagram]:
        if target in self._suspected_at or target in self._probe_by_target:
            return []
        self._probe_by_target[target] = _Probe(now, False)
        return self._ping(_Sent(target, now))

    def _check_probe(
        self, target: BalancerId, probe: _Probe, now: float
    ) -> list[SendDatagram]:
        if now - probe.sent_at < PROBE_TIMEOUT_S:
            return []
        if not probe.is_indirect and target in self._present:
            self._probe_by_target[target] = _Probe(now, True)
            return self._ping_requests(target, now)
        del self._probe_by_target[target]
        if target not in self._present:
            return []
        self._suspected_at[target] = now
        return self._suspicions(target)

    def _suspicions(self, target: BalancerId) -> list[SendDatagram]:
        """Tell the suspect, directly and through others."""
        record = self._present[target]
        message = Suspicion(target, record.incarnation, record.sequence)
        return [
            SendDatagram(to.control_address, message)
            for to in [record, *self._helpers(target)]
        ]

    def _next_target(self) -> BalancerId | None:
        """Return the next balancer of a random order of all.

        Each balancer is probed once before any is probed again, which bounds
        the time until a failure is seen.
        """
        while self._order or self._present:
            if not self._order:
                self._order = sorted(self._present)
                self._rng.shuffle(self._order)
            target = self._order.pop()
            if target in self._present and target not in self._suspected_at:
                return target
            if self._present.keys() <= self._suspected_at.keys():
                return None
        return None

    def _forget_nonces(self, now: float) -> None:
        self._sent_by_nonce = {
            nonce: sent
            for nonce, sent in self._sent_by_nonce.items()
            if now - sent.at < NONCE_S
        }
