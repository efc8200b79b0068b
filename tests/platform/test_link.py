"""The link of a process, in simulated time."""

import asyncio

from ibispitch.decisionlog import DecisionLog
from ibispitch.histograms import LatencyHistograms
from ibispitch.platform.link import Link
from testbed.simulated_loop import simulate

FRAME = bytes(100)
LINK_MBPS = 0.5


def play(after):
    """Send a burst, and return what left until something was done."""

    async def work(loop):
        sent = []
        log = DecisionLog('test', loop.time, len)
        link = Link(
            LINK_MBPS, lambda ip, data: sent.append(ip), loop.time, log,
            LatencyHistograms(),
        )  # fmt: skip
        for number in range(100):
            link.send_frame(str(number), FRAME)
        assert len(sent) < 10
        await after(link)
        return sent, link.waiting_bytes

    return simulate(work)


def test_last_messages_leave_before_the_process_ends():
    """Guards against a stop whose announcements are lost with its queue."""
    sent, waiting = play(lambda link: link.drain())
    assert sent == [str(number) for number in range(100)]
    assert waiting == 0


def test_drain_is_bounded():
    """Guards against a process that outlives the time that it has to stop."""
    sent, waiting = play(lambda link: link.drain(0.1))
    assert 10 < len(sent) < 100
    assert waiting > 0


def test_closed_link_sends_nothing_more():
    """Guards against messages of a process that was killed."""

    async def close(link):
        link.close()
        await asyncio.sleep(1.0)

    sent, _ = play(close)
    assert len(sent) < 10
