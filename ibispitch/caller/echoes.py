"""Echo values that agents issued to this caller."""

#: Time in seconds for which a value is reused, on the clock of the caller. It
#: is half of the lifetime at the agent, so that a value does not expire while
#: a request with it is in transit.
REUSE_S = 150.0


#: Time in seconds for which the value of a request id is remembered. It is
#: twice the lifetime of a value at the agent.
REMEMBER_S = 600.0


class EchoCache:
    """The last Echo value that an agent issued, and those of request ids.

    >>> cache = EchoCache()
    >>> cache.set(b'value', 0.0)
    >>> cache.get(149.0), cache.get(150.0)
    (b'value', None)
    """

    def __init__(self):
        self._value: bytes | None = None
        self._received_at = 0.0
        self._value_by_request_id: dict[bytes, tuple[bytes, float]] = {}

    def value_for_request(
        self, request_id: bytes, value: bytes, now: float
    ) -> bytes:
        """Return the value to send with a request id, always the same one.

        If copies of a request had values of two agents, both could run it.

        :param value: the value to use if the request id is new.

        >>> cache = EchoCache()
        >>> cache.value_for_request(b'id', b'first', 0.0)
        b'first'
        >>> cache.value_for_request(b'id', b'new', 1.0)
        b'first'
        """
        value_by_request_id = self._value_by_request_id
        while value_by_request_id:
            oldest = next(iter(value_by_request_id))
            if value_by_request_id[oldest][1] + REMEMBER_S > now:
                break
            del value_by_request_id[oldest]
        return value_by_request_id.setdefault(request_id, (value, now))[0]

    def get(self, now: float) -> bytes | None:
        """Return the last value, or ``None`` if it is too old to be reused."""
        if self._value is None or now - self._received_at >= REUSE_S:
            return None
        return self._value

    def set(self, value: bytes | None, now: float) -> None:
        """Store a value, or ``None`` if the last one is no longer valid."""
        self._value, self._received_at = value, now
