"""Echo value that an agent issued to this caller."""

#: Time in seconds for which a value is reused, by the caller's own clock.
#: It is half the lifetime at the agent, so that a value does not expire
#: while a request that carries it is on its way.
REUSE_S = 150.0


#: Time in seconds for which the value of a request id is remembered. It is
#: twice the lifetime of a value at the agent.
REMEMBER_S = 600.0


class EchoCache:
    """Keeps the last Echo value that an agent issued.

    >>> cache = EchoCache()
    >>> cache.set(b'value', 0.0)
    >>> cache.get(149.0), cache.get(150.0)
    (b'value', None)
    """

    def __init__(self):
        self._value: bytes | None = None
        self._received = 0.0
        self._by_request: dict[bytes, tuple[bytes, float]] = {}

    def value_for_request(
        self, request_id: bytes, value: bytes, now: float
    ) -> bytes:
        """Return the only value that a request id is ever sent with.

        Two agents would both run a request that carries values of both.

        >>> cache = EchoCache()
        >>> cache.value_for_request(b'id', b'first', 0.0)
        b'first'
        >>> cache.value_for_request(b'id', b'new', 1.0)
        b'first'
        """
        by_request = self._by_request
        while by_request:
            oldest = next(iter(by_request))
            if by_request[oldest][1] + REMEMBER_S > now:
                break
            del by_request[oldest]
        return by_request.setdefault(request_id, (value, now))[0]

    def get(self, now: float) -> bytes | None:
        """Return the value if it is young enough for a new request."""
        if self._value is None or now - self._received >= REUSE_S:
            return None
        return self._value

    def set(self, value: bytes | None, now: float) -> None:
        """Keep a value; ``None`` if the last one admits nothing now."""
        self._value, self._received = value, now
