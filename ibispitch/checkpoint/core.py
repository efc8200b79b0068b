"""Keeping and putting together the flows of agents that restart.

What a process saves is for the next process alone. A later one would take
flows that opened meanwhile for flows that its upstream does not hold.
"""

from ibispitch.checkpoint.messages import CheckpointPart

#: Time for which a balancer keeps the flows of an agent: the longest grace
#: time of a stop (6 s), the start, and a few lost messages.
KEEP_S = 15.0
#: Agents whose flows are kept at a time.
MAX_AGENTS = 256


class CheckpointCache:
    """The flows of agents that said that they restart."""

    def __init__(self):
        self._parts_by_ip: dict[str, dict[int, CheckpointPart]] = {}
        self._kept_at_by_ip: dict[str, float] = {}
        #: Starts of the processes that come after those that saved.
        self._heir_by_ip: dict[str, int] = {}

    def add(self, ip: str, part: CheckpointPart, now: float) -> None:
        """Keep a part of an agent's flows."""
        parts = self._parts_by_ip.setdefault(ip, {})
        former = next(iter(parts.values()), None)
        if former is not None and former.saved_by != part.saved_by:
            parts.clear()
            self._heir_by_ip.pop(ip, None)
        parts[part.part] = part
        self._kept_at_by_ip[ip] = now
        if len(self._parts_by_ip) > MAX_AGENTS:
            self._drop(min(self._kept_at_by_ip, key=self._kept_at_by_ip.get))

    def record_process(self, ip: str, started_ms: int) -> None:
        """Note that a process of an agent runs.

        :param started_ms: start of the process, Unix time.
        """
        parts = self._parts_by_ip.get(ip)
        if not parts or started_ms == next(iter(parts.values())).saved_by:
            return
        if self._heir_by_ip.setdefault(ip, started_ms) != started_ms:
            self._drop(ip)

    def parts_for(self, ip: str, started_ms: int) -> list[CheckpointPart]:
        """Return what is kept of an agent, for the process that asks."""
        self.record_process(ip, started_ms)
        return list(self._parts_by_ip.get(ip, {}).values())

    def expire(self, now: float) -> None:
        """Drop what no agent has asked for in time."""
        for ip, kept_at in list(self._kept_at_by_ip.items()):
            if now - kept_at > KEEP_S:
                self._drop(ip)

    def _drop(self, ip: str) -> None:
        del self._parts_by_ip[ip]
        del self._kept_at_by_ip[ip]
        self._heir_by_ip.pop(ip, None)


class CheckpointCollector:
    """Puts the parts of an agent's own flows together."""

    def __init__(self):
        self._parts: dict[tuple[int, int, int], CheckpointPart] = {}

    def add(self, part: CheckpointPart) -> list[bytes] | None:
        """Add a part.

        :returns: all flows of its upstream if the part was the last one that
            was missing, else ``None``.
        """
        key = (part.saved_by, part.incarnation, part.part)
        if key in self._parts:
            return None
        self._parts[key] = part
        own = [
            other
            for (saved_by, incarnation, _), other in self._parts.items()
            if (saved_by, incarnation) == key[:2]
        ]
        if len(own) < part.parts:
            return None
        return [flow for other in own for flow in other.flows]
