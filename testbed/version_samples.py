"""Encodes and decodes samples of all that processes of two versions exchange.

``python -m testbed.version_samples write`` prints each sample with its bytes;
``... read`` reads such lines and prints what this version makes of them. The
module runs with the packages of either version, so that it uses only names
that both have.
"""

import json
import sys
from typing import Any

import msgspec

from ibispitch.checkpoint.messages import CheckpointRequest
from ibispitch.checkpoint.messages import split_flows
from ibispitch.fleet.directory import decode_directory
from ibispitch.fleet.directory import encode_directory
from ibispitch.fleet.messages import AgentState
from ibispitch.fleet.messages import AgentStatus
from ibispitch.fleet.messages import BalancerStatus
from ibispitch.fleet.messages import DatacentreReport
from ibispitch.fleet.messages import decode_message
from ibispitch.fleet.messages import encode_message
from ibispitch.fleet.messages import pack_entries
from ibispitch.fleet.messages import pack_ips
from ibispitch.fleet.messages import ReportEntry
from ibispitch.fleet.messages import unpack_entries
from ibispitch.forwarding import frames
from ibispitch.forwarding.frames import Purpose
from ibispitch.forwarding.frames import Reason
from ibispitch.forwarding.frames import Verdict
from ibispitch.forwarding.packets import FlowKey
from ibispitch.retry.attempts import CallerKey
from ibispitch.routes.model import decode_table
from ibispitch.routes.model import encode_table
from ibispitch.routes.model import Route
from ibispitch.routes.model import RouteTable
from ibispitch.routes.model import ServiceLimits
from ibispitch.routes.model import Share
from ibispitch.routes.position import TablePosition

FLOW = FlowKey(bytes(range(12)))
POSITION = TablePosition(2, 900)
#: Unix time of a start in milliseconds.
STARTED_MS = 1_781_806_710_287
AGENT = AgentStatus(
    datacentre='accra', service='counter', started_ms=STARTED_MS, number=7,
    incarnation=STARTED_MS - 500, state=AgentState.READY, slots=5, running=3,
    work_s=0.02, failing=0.1, long_flows=9, cold_openings=None,
    cold_left_s=1.5, revision=900, interval_s=0.4, wants_answer=True,
    reuse=((FLOW[6:], True),), cold_limit=11, late=2,
)  # fmt: skip
BALANCER = BalancerStatus(
    datacentre='accra', started_ms=STARTED_MS, number=8, revision=900,
    age_s=1e6, link_mbps=0.0, is_leaving=False, knows_fleet=True,
    balancers=pack_ips(['10.1.0.4']), agents=pack_ips(['10.1.0.9']),
    interval_s=1.2, wants_answer=False, era=2, version=19, passes_on=True,
)  # fmt: skip
UNKNOWN_AGENT = msgspec.structs.replace(
    AGENT, incarnation=0, state=AgentState.UNKNOWN, slots=1, cold_openings=0
)
TABLE = RouteTable(
    revision=900, version=19,
    routes=(
        Route(FLOW[6:], (Share('counter', 1),), 'safe', 0.1, 1.5, 0),
        Route(FLOW[:6], (Share('a', 3), Share('b', 1)), 'odd', 0.5, 5.0, 2),
    ),
    services=(ServiceLimits('counter', 2.0, 5.0, '/healthz'),),
    idle_timeout_s=15.0, out=frozenset({'tema'}), era=2,
    held_out=frozenset({'accra'}),
)  # fmt: skip
MESSAGES = {
    'agent': AGENT,
    'agent_unknown': UNKNOWN_AGENT,
    'balancer': BALANCER,
    'request': CheckpointRequest(STARTED_MS),
    'saved': split_flows(STARTED_MS, STARTED_MS - 500, [FLOW] * 81)[1],
    'saved_none': split_flows(STARTED_MS, STARTED_MS - 500, [])[0],
    'report': DatacentreReport(
        'accra', True, pack_ips(['10.1.0.9']),
        pack_entries([
            ReportEntry(bytes([10, 1, 0, 9]), 120, AGENT),
            ReportEntry(bytes([10, 1, 0, 4]), 0, BALANCER),
        ]),
    ),
}  # fmt: skip
FRAMES = {
    'forward': frames.encode_forward(Purpose.OWNED, POSITION, 7, b'raw'),
    'trial': frames.encode_forward(Purpose.TRIAL, POSITION, 0, b'raw'),
    'opening': frames.encode_forward(
        Purpose.OPENING, POSITION, STARTED_MS, b'raw', (1, 2)
    ),
    'return': frames.encode_return(Reason.ENDED, POSITION, 7, b'raw', (3,)),
    'questions': frames.encode_questions([frames.Question(FLOW, 501)])[0],
    'answers': frames.encode_answers(
        7, [frames.Answer(FLOW, verdict) for verdict in Verdict]
    ),
    'owners': frames.encode_owners([frames.KnownOwner(FLOW, 7)]),
    'age': frames.encode_age(FLOW, 0.25),
    'attempt': frames.encode_attempt(
        frames.EndedAttempt(CallerKey(bytes(10)), 2, 0.5)
    ),
}


def write() -> dict[str, bytes]:
    """Return all samples in encoded form."""
    samples = {
        f'message.{name}': encode_message(message)
        for name, message in MESSAGES.items()
    }
    samples |= {f'frame.{name}': data for name, data in FRAMES.items()}
    samples['table'] = encode_table(TABLE)
    samples['list'] = encode_directory(('10.1.0.4', '10.2.0.4'))
    return samples


def read(name: str, data: bytes) -> Any:
    """Return what this version reads from a sample."""
    kind = name.partition('.')[0]
    if kind == 'message':
        message = decode_message(data)
        if isinstance(message, DatacentreReport):
            head = msgspec.structs.replace(message, entries=b'')
            return [repr(head), repr(unpack_entries(message.entries))]
        return repr(message)
    if kind == 'frame':
        return repr(frames.decode_frame(data))
    return repr((decode_table if kind == 'table' else decode_directory)(data))


def main() -> None:
    """Write samples, or read those on standard input."""
    if sys.argv[1] == 'write':
        samples = {name: data.hex() for name, data in write().items()}
    else:
        samples = {
            name: read(name, bytes.fromhex(text))
            for name, text in json.load(sys.stdin).items()
        }
    json.dump(samples, sys.stdout)


if __name__ == '__main__':
    main()
