"""Outcomes of a request, as its caller gets them."""

from aiocoap.numbers.codes import Code
import msgspec

from ibispitch.ids import RequestId


class Result(msgspec.Struct, frozen=True):
    """The upstream has answered.

    :param code: code of the answer, which may be an error.
    :param payload: the whole body.
    :param request_id: id of the request, ``None`` for idempotent requests
        without one.
    """

    code: Code
    payload: bytes
    request_id: RequestId | None = None

    @property
    def is_success(self) -> bool:
        """Whether the answer is a success (2.xx)."""
        return self.code.is_successful()


class NotRun(msgspec.Struct, frozen=True):
    """The request did not run and never will.

    :param retry_after_s: time after which to send it with a new id, in
        seconds.
    """

    retry_after_s: float
    request_id: RequestId | None = None


class Unknown(msgspec.Struct, frozen=True):
    """The request may or may not have run.

    :param reason: why no answer was received.
    """

    reason: str
    request_id: RequestId | None = None


Outcome = Result | NotRun | Unknown
