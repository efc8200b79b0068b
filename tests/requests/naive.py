"""Baseline without records: what the checks must find to be wrong."""

import itertools

from aiocoap.numbers.types import Type

from ibispitch.requests import coap
from ibispitch.requests import outcomes
from ibispitch.requests.effects import SendToCaller
from ibispitch.requests.effects import SendToUpstream

TIMEOUT_S = 2.0


class NaiveGate:
    """Runs every datagram, again after a timeout, then says "not run"."""

    def __init__(self, settings, admission, retries, rng):
        self.mids = itertools.count(rng.randrange(1 << 15))
        self.open = {}

    def on_caller_datagram(self, flow, datagram, now, relayed=False):
        message = coap.decode(datagram)
        if not message.code.is_request():
            return []
        mid = next(self.mids) % 65536
        self.open[mid] = (flow, message.mid, message.token, now)
        sent = coap.encode(message, Type.CON, mid, mid.to_bytes(2, 'big'))
        return [SendToUpstream(flow, sent)]

    def on_upstream_datagram(self, flow, datagram, now):
        answer = coap.decode(datagram)
        known = self.open.pop(answer.mid, None)
        if known is None:
            return []
        return [
            SendToCaller(
                flow, coap.encode(answer, Type.ACK, known[1], known[2])
            )
        ]

    def tick(self, now):
        effects = []
        for key, (flow, mid, token, sent) in list(self.open.items()):
            if now - sent >= TIMEOUT_S:
                del self.open[key]
                answer = coap.encode(
                    outcomes.not_run(1.0), Type.ACK, mid, token
                )
                effects.append(SendToCaller(flow, answer))
        return effects

    def on_upstream_lost(self, now):
        return self.tick(now + TIMEOUT_S)

    def on_agents(self, agents, now):
        return []

    def export(self, now):
        return b''

    def restore(self, data, now):
        return []

    def export_flow(self, flow, now):
        return None, []
