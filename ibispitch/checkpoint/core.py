"""Storage and reassembly of the saved flows of restarting agents.

The flows that a process saves are for the next process of its agent. Later
ones have other flows, so that they need them less; a balancer that missed a
process may give them the flows all the same.
"""

from ibispitch.checkpoint.messages import CheckpointPart

#: Time for which a balancer keeps the flows of an agent: the longest grace
#: period of a stop (6 s), the start, and a few lost messages.
CHECKPOINT_KEPT_S = 15.0
#: Maximum number of agents whose flows are kept.
MAX_AGENTS = 256


class CheckpointCache:
    """The flows that restarting agents have saved at a balancer."""

    def __init__(self):
        self._parts_by_ip: dict[str, dict[int, CheckpointPart]] = {}
        self._kept_at_by_ip: dict[str, float] = {}
        #: Start time of the process after the one that saved the flows.
        self._successor_by_ip: dict[str, int] = {}

    def add(self, ip: str, part: CheckpointPart, now: float) -> None:
        """Keep a part of an agent's flows.

        Parts that an earlier process saved are dropped.
        """
        parts = self._parts_by_ip.setdefault(ip, {})
        former = next(iter(parts.values()), None)
        if former is not None and former.saved_by != part.saved_by:
            parts.clear()
            self._successor_by_ip.pop(ip, None)
        parts[part.part] = part
        self._kept_at_by_ip[ip] = now
        if len(self._parts_by_ip) > MAX_AGENTS:
            self._drop(min(self._kept_at_by_ip, key=self._kept_at_by_ip.get))

    def record_process(self, ip: str, started_ms: int) -> None:
        """Record that a process of an agent runs.

        The flows are dropped if it is the second process after the one that
        saved them.

        :param ip: address of the agent.
        :param started_ms: start of the process, Unix time.
        """
        parts = self._parts_by_ip.get(ip)
        if not parts or started_ms == next(iter(parts.values())).saved_by:
            return
        if self._successor_by_ip.setdefault(ip, started_ms) != started_ms:
            self._drop(ip)

    def parts_for(self, ip: str, started_ms: int) -> list[CheckpointPart]:
        """Return the kept parts of an agent's flows.

        :param ip: address of the agent.
        :param started_ms: start of the process that requests them.
        :returns: the parts; none if yet another process has run since they
            were saved.
        """
        self.record_process(ip, started_ms)
        return list(self._parts_by_ip.get(ip, {}).values())

    def expire(self, now: float) -> None:
        """Drop flows that were kept for longer than ``CHECKPOINT_KEPT_S``."""
        for ip, kept_at in list(self._kept_at_by_ip.items()):
            if now - kept_at > CHECKPOINT_KEPT_S:
                self._drop(ip)

    def _drop(self, ip: str) -> None:
        del self._parts_by_ip[ip]
        del self._kept_at_by_ip[ip]
        self._successor_by_ip.pop(ip, None)


class CheckpointCollector:
    """Reassembles the flows of an agent from their parts."""

    def __init__(self):
        self._parts: dict[tuple[int, int, int], CheckpointPart] = {}

    def add(self, part: CheckpointPart) -> list[bytes] | None:
        """Add a part.

        :returns: the saved flows if this was the last missing part, else
            ``None``.
        """
        key = (part.saved_by, part.incarnation, part.part)
        if key in self._parts:
            return None
        self._parts[key] = part
        same_checkpoint = [
            other
            for (saved_by, incarnation, _), other in self._parts.items()
            if (saved_by, incarnation) == key[:2]
        ]
        if len(same_checkpoint) < part.parts:
            return None
        return [flow for other in same_checkpoint for flow in other.flows]
