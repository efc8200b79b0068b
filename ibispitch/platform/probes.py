"""Probes of hosts whose agent is silent, see :mod:`ibispitch.fleet.probes`."""

from ibispitch.ids import Address
from ibispitch.platform.node import Node
from ibispitch.platform.transport import ProbeResult

#: Interval at which silent hosts are looked for.
PROBE_CHECK_INTERVAL_S = 0.2
#: Time in which a running host answers: the kernel does so without its
#: processes, and one retransmission is not waited for.
PROBE_TIMEOUT_S = 0.5
#: Delay of the time-out from which this process was itself suspended or
#: busy, so that the answer may have waited.
MAX_TIMER_DELAY_S = 0.1


class HostProber:
    """Probes the hosts of silent agents.

    :param node: the process of a balancer.
    """

    def __init__(self, node: Node):
        self._node = node

    def start(self) -> None:
        """Begin to probe."""
        self._node.every(PROBE_CHECK_INTERVAL_S, self._probe_silent_hosts)

    def _probe_silent_hosts(self) -> None:
        node = self._node
        for ip in node.fleet.hosts_to_probe(node.clock()):
            node.start(self._probe(ip))

    async def _probe(self, ip: str) -> None:
        node = self._node
        began_at = node.clock()
        try:
            # A listening agent accepts, and the kernel refuses for others.
            result = await node.transport.probe(
                Address(ip, node.peer_port), PROBE_TIMEOUT_S
            )
        except OSError as error:
            node.log.change(
                'host.not_probed', node.clock(), host=ip, error=repr(error)
            )
            return
        now = node.clock()
        if now - began_at > PROBE_TIMEOUT_S + MAX_TIMER_DELAY_S:
            return
        is_answered = result is not ProbeResult.NO_ANSWER
        if node.fleet.record_probe(ip, is_answered):
            node.log.change('host.probed', now, host=ip, result=result.value)
