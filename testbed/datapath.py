"""Processes for benchmarks of datagram relays: senders, sinks, bare relay.

Run one with ``python -m testbed.datapath ROLE ...``. Each role but
``relay`` ends after a bounded time and prints its result as a line of JSON.
"""

import argparse
import asyncio
import json
import socket
import time

from ibispitch.datagrams import BUFFER_BYTES
from ibispitch.datagrams import DatagramSocket
from ibispitch.ids import Address
from ibispitch.ids import flow_address
from ibispitch.ids import FlowId
from ibispitch.ids import parse_address
from ibispitch.wire import decode_frame
from ibispitch.wire import encode_frame
from ibispitch.wire import FrameKind
from ibispitch.wire import Keyring

PAYLOAD_BYTES = 200
BATCH_DATAGRAMS = 50
PING_INTERVAL_S = 0.0005
#: Flows that one process opens per second.
OPENED_FLOWS_PER_S = 6000


def open_socket(bind: Address) -> socket.socket:
    """Return a bound UDP socket with large buffers."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        udp_socket.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
    udp_socket.bind(bind)
    return udp_socket


async def relay(service: Address, data: Address, sink: Address) -> None:
    """Relay datagrams between callers and one sink, without routing.

    The caller's address is put before each datagram to the sink. The sink
    returns it with the answer, which is sent to that address.

    :param service: address on which callers' datagrams are received.
    :param data: address on which the sink's answers are received.
    :param sink: address to which callers' datagrams are sent.
    """
    inet_aton = socket.inet_aton

    def from_caller(datagram, caller):
        back.sendto(
            inet_aton(caller[0]) + caller[1].to_bytes(2, 'big') + datagram,
            sink,
        )

    def from_sink(datagram, _):
        front.sendto(datagram[6:], flow_address(FlowId(datagram[:6])))

    back = DatagramSocket(from_sink, data)
    front = DatagramSocket(from_caller, service)
    await asyncio.Event().wait()


def send(target: Address, bind_ip: str, seconds: float, flows: int) -> dict:
    """Send datagrams as fast as possible from many source ports."""
    sockets = [open_socket(Address(bind_ip, 0)) for _ in range(flows)]
    datagram = b'x' * PAYLOAD_BYTES
    sent = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for udp_socket in sockets:
            for _ in range(BATCH_DATAGRAMS):
                udp_socket.sendto(datagram, target)
        sent += BATCH_DATAGRAMS * len(sockets)
    return {'sent': sent}


def open_flows(target: Address, count: int, first: int) -> dict:
    """Send one datagram from each of ``count`` caller addresses.

    :param target: address of the service.
    :param count: number of flows to open.
    :param first: number of the first flow, so that runs do not overlap.
    """
    datagram = b'x' * PAYLOAD_BYTES
    start = time.monotonic()
    for opened_flows, number in enumerate(range(first, first + count)):
        if opened_flows % BATCH_DATAGRAMS == 0:
            ahead_s = opened_flows / OPENED_FLOWS_PER_S - (
                time.monotonic() - start
            )
            time.sleep(max(0.0, ahead_s))
        ip = f'127.{100 + (number >> 16)}.{number >> 8 & 255}.{number & 255}'
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
            udp_socket.bind((ip, 0))
            udp_socket.sendto(datagram, target)
    return {'opened': count, 'seconds': time.monotonic() - start}


def count_datagrams(udp_socket: socket.socket, seconds: float) -> dict:
    """Count datagrams and measure the time from the first to the last."""
    udp_socket.settimeout(0.2)
    buffer = bytearray(65536)
    count, first_at, last_at = 0, 0.0, 0.0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            for _ in range(BATCH_DATAGRAMS):
                udp_socket.recvfrom_into(buffer)
                count += 1
            last_at = time.monotonic()
            first_at = first_at or last_at
        except TimeoutError:
            continue
    return {'received': count, 'seconds': last_at - first_at}


def ping(target: Address, bind: Address, seconds: float) -> dict:
    """Measure round-trip times through a relay, one datagram at a time."""
    caller = open_socket(bind)
    caller.settimeout(0.5)
    latencies = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        start = time.perf_counter()
        caller.sendto(b'x' * PAYLOAD_BYTES, target)
        try:
            caller.recvfrom(65536)
        except TimeoutError:
            continue
        latencies.append(time.perf_counter() - start)
        time.sleep(PING_INTERVAL_S)
    latencies.sort()
    if not latencies:
        return {'count': 0, 'p50_s': 9.9, 'p99_s': 9.9}
    return {
        'count': len(latencies),
        'p50_s': latencies[len(latencies) // 2],
        'p99_s': latencies[len(latencies) * 99 // 100],
    }


def plain_answer(datagram: bytes, _: Keyring) -> bytes:
    """Return the answer to a datagram of the bare relay."""
    return datagram


def framed_answer(datagram: bytes, keyring: Keyring) -> bytes:
    """Return the answer to a frame of the balancer."""
    frame = decode_frame(keyring, datagram)
    return encode_frame(keyring, frame._replace(kind=FrameKind.REPLY))


ANSWER_BY_FORMAT = {'plain': plain_answer, 'frame': framed_answer}


def echo(bind: Address, seconds: float, make_answer, keyring: Keyring) -> dict:
    """Answer each received datagram."""
    udp_socket = open_socket(bind)
    udp_socket.settimeout(0.2)
    count = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            datagram, sender = udp_socket.recvfrom(65536)
        except TimeoutError:
            continue
        udp_socket.sendto(make_answer(datagram, keyring), sender)
        count += 1
    return {'answered': count}


def flood_answers(
    bind: Address, seconds: float, make_answer, keyring: Keyring
) -> dict:
    """Answer a caller's datagram again and again, as fast as possible.

    Waits for the datagram first, as an answer needs its flow.
    """
    udp_socket = open_socket(bind)
    udp_socket.settimeout(1.0)
    answers: dict[bytes, tuple] = {}
    end = time.monotonic() + seconds
    while time.monotonic() < end and not answers:
        try:
            datagram, sender = udp_socket.recvfrom(65536)
        except TimeoutError:
            continue
        answer = make_answer(datagram, keyring)
        answers[answer] = sender
    sent = 0
    while time.monotonic() < end:
        for answer, sender in answers.items():
            for _ in range(BATCH_DATAGRAMS):
                udp_socket.sendto(answer, sender)
            sent += BATCH_DATAGRAMS
    return {'sent': sent}


def call_and_count(target: Address, bind: Address, seconds: float) -> dict:
    """Send one datagram and count the answers."""
    udp_socket = open_socket(bind)
    udp_socket.settimeout(0.2)
    udp_socket.sendto(b'x' * PAYLOAD_BYTES, target)
    return count_datagrams(udp_socket, seconds)


def main() -> None:
    """Run one role and print its result."""
    parser = argparse.ArgumentParser()
    parser.add_argument('role', choices=sorted(RUN_BY_ROLE))
    parser.add_argument('--target', type=parse_address)
    parser.add_argument('--bind', type=parse_address)
    parser.add_argument('--data', type=parse_address)
    parser.add_argument('--ip', default='127.0.0.1')
    parser.add_argument('--seconds', type=float, default=1.0)
    parser.add_argument('--flows', type=int, default=50)
    parser.add_argument('--first', type=int, default=0)
    parser.add_argument('--format', choices=sorted(ANSWER_BY_FORMAT))
    parser.add_argument('--key', type=bytes.fromhex, default=b'k' * 16)
    options = parser.parse_args()
    result = RUN_BY_ROLE[options.role](options)
    print(json.dumps(result), flush=True)


def _answering_role(role):
    return lambda o: role(
        o.bind, o.seconds, ANSWER_BY_FORMAT[o.format], Keyring([o.key])
    )


RUN_BY_ROLE = {
    'relay': lambda o: asyncio.run(relay(o.bind, o.data, o.target)),
    'send': lambda o: send(o.target, o.ip, o.seconds, o.flows),
    'open': lambda o: open_flows(o.target, o.flows, o.first),
    'sink': lambda o: count_datagrams(open_socket(o.bind), o.seconds),
    'ping': lambda o: ping(o.target, o.bind, o.seconds),
    'echo': _answering_role(echo),
    'flood': _answering_role(flood_answers),
    'call': lambda o: call_and_count(o.target, o.bind, o.seconds),
}


if __name__ == '__main__':
    main()
