"""Status messages of processes of other versions."""

import msgspec

from ibispitch.fleet.messages import AgentState
from ibispitch.fleet.messages import AgentStatus
from ibispitch.fleet.messages import decode_message
from ibispitch.fleet.messages import encode_message

STATUS = AgentStatus(
    datacentre='a', service='s', started_ms=1, number=2, incarnation=3,
    state=AgentState.READY, slots=1, running=4, work_s=0.1, failing=0.0,
    long_flows=1, cold_openings=None, cold_left_s=0.0, revision=1,
    interval_s=0.4, wants_answer=False, reuse=((b'abcdef', True),),
    cold_limit=5,
)  # fmt: skip
#: The same status as version 0.2.0 before the field ``late`` encoded it.
ENCODED_BEFORE = bytes.fromhex(
    'dc001501a161a173010203010104cb3fb999999999999acb000000000000000001c0'
    'cb000000000000000001cb3fd999999999999ac29192c406616263646566c3c09005'
)


def test_status_of_the_version_before_is_read():
    """Guards against fields that change their position during a release."""
    assert decode_message(ENCODED_BEFORE) == STATUS


def test_status_begins_as_in_the_version_before():
    """Guards against a status that older processes can't read.

    They ignore the fields behind those that they know.
    """
    before = msgspec.msgpack.decode(ENCODED_BEFORE)
    now = msgspec.msgpack.decode(encode_message(STATUS))
    assert now[: len(before)] == before
    assert now[len(before) :] == [0]
