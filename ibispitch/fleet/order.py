"""Which status messages of a host are those of its present process.

Messages may be late, repeated or reordered, and the time of day of a host may
step, so that neither their order of arrival nor the start time in them tells
which of two processes is the later one. Each process has an identifier, and
numbers its messages. An identifier that was not seen before is that of a new
process. A process that was replaced, or whose numbers have fallen, counts
again only if its messages go on while the present one sends none: late
messages do not.
"""

from typing import NamedTuple

#: Time for which a process that seemed to be replaced has to send messages
#: until it counts as the present one: more than two status intervals, and
#: well below the time after which a process counts as lost.
CONTINUES_S = 1.0
#: Maximum number of remembered former processes of a host. Late messages of
#: more than this many processes would have to arrive together.
MAX_FORMER = 8


class _Candidate(NamedTuple):
    """A process that may be the present one after all."""

    process: int
    number: int
    since: float


class Continuation:
    """Tells whether a process that seems to be replaced goes on sending."""

    __slots__ = ('_candidate',)

    def __init__(self):
        self._candidate: _Candidate | None = None

    def record(self, process: int, number: int, now: float) -> bool:
        """Record a message that seems to be late.

        :returns: whether the process has sent messages with rising numbers
            for :data:`CONTINUES_S`, so that they are not late.
        """
        candidate = self._candidate
        if (
            candidate is None
            or candidate.process != process
            or number <= candidate.number
        ):
            self._candidate = _Candidate(process, number, now)
            return False
        self._candidate = candidate._replace(number=number)
        return now - candidate.since >= CONTINUES_S

    def end(self) -> None:
        """Record a message of the present process."""
        self._candidate = None


class ProcessOrder:
    """Order of the processes of one host.

    :param process: identifier of the first process.
    :param number: number of its message.
    :param now: time of the message in seconds.
    """

    __slots__ = (
        '_continuation', '_former', '_heard_at', '_number', '_process',
    )  # fmt: skip

    def __init__(self, process: int, number: int, now: float):
        self._process = process
        self._number = number
        self._heard_at = now
        #: A dictionary as an ordered set.
        self._former: dict[int, None] = {}
        self._continuation = Continuation()

    def is_present(self, process: int) -> bool:
        """Return whether a process is the present one."""
        return process == self._process

    def accept(self, process: int, number: int, now: float) -> bool:
        """Record a message.

        :param process: identifier of the process that sent it.
        :param number: its number.
        :param now: time at which it arrived, here or where it was reported
            from.
        :returns: whether it is the latest one of the present process.
        """
        is_present = self.is_present(process)
        if is_present and number > self._number:
            self._set_present(process, number, now)
            return True
        if not is_present and process not in self._former:
            if now < self._heard_at:
                # A report about a process that has been replaced since.
                return False
            self._set_present(process, number, now)
            return True
        if not self._continuation.record(process, number, now):
            return False
        self._set_present(process, number, now)
        return True

    def _set_present(self, process: int, number: int, now: float) -> None:
        if not self.is_present(process):
            self._former.pop(process, None)
            self._former[self._process] = None
            if len(self._former) > MAX_FORMER:
                del self._former[next(iter(self._former))]
        self._process = process
        self._number = number
        self._heard_at = now
        self._continuation.end()
