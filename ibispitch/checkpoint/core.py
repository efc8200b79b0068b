"""Keeping and putting together the flows of agents that restart."""

from ibispitch.checkpoint.messages import CheckpointPart

#: Time for which a balancer keeps the flows of an agent: the longest grace
#: time of a stop (6 s), the start, and a few lost messages.
KEEP_S = 15.0
#: Agents whose flows are kept at a time.
MAX_AGENTS = 256


class CheckpointKeeper:
    """The flows of agents that said that they restart."""

    def __init__(self):
        self._parts_by_ip: dict[str, dict[int, CheckpointPart]] = {}
        self._kept_at_by_ip: dict[str, float] = {}

    def keep(self, ip: str, part: CheckpointPart, now: float) -> None:
        """Keep a part of an agent's flows."""
        parts = self._parts_by_ip.setdefault(ip, {})
        former = next(iter(parts.values()), None)
        if former is not None and (former.incarnation, former.parts) != (
            part.incarnation,
            part.parts,
        ):
            parts.clear()
        parts[part.part] = part
        self._kept_at_by_ip[ip] = now
        if len(self._parts_by_ip) > MAX_AGENTS:
            self._drop(min(self._kept_at_by_ip, key=self._kept_at_by_ip.get))

    def parts_of(self, ip: str) -> list[CheckpointPart]:
        """Return what is kept of an agent."""
        return list(self._parts_by_ip.get(ip, {}).values())

    def expire(self, now: float) -> None:
        """Drop what no agent has asked for in time."""
        for ip, kept_at in list(self._kept_at_by_ip.items()):
            if now - kept_at > KEEP_S:
                self._drop(ip)

    def _drop(self, ip: str) -> None:
        del self._parts_by_ip[ip]
        del self._kept_at_by_ip[ip]


class CheckpointCollector:
    """Puts the parts of an agent's own flows together."""

    def __init__(self):
        self._parts: dict[tuple[int, int, int], CheckpointPart] = {}

    def add(self, part: CheckpointPart) -> list[bytes] | None:
        """Add a part.

        :returns: all flows of its upstream if the part was the last one that
            was missing, else ``None``.
        """
        key = (part.incarnation, part.parts, part.part)
        if key in self._parts:
            return None
        self._parts[key] = part
        own = [
            other
            for (incarnation, parts, _), other in self._parts.items()
            if (incarnation, parts) == key[:2]
        ]
        if len(own) < part.parts:
            return None
        return [flow for other in own for flow in other.flows]
