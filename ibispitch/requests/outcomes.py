"""Answers of a gate to callers: final answers and the Echo challenge."""

import enum
import math

from aiocoap import Message
from aiocoap.numbers.codes import Code

from ibispitch.requests.coap import OUTCOME
from ibispitch.requests.coap import set_uint_option


class Outcome(enum.IntEnum):
    """Value of the Outcome option, which the result of a run does not have."""

    NOT_RUN = 1
    UNKNOWN = 2


def not_run(retry_after_s: float) -> Message:
    """Return the answer that a request was not run and never will be.

    :param retry_after_s: time after which to try again, in seconds.
    """
    message = Message(code=Code.SERVICE_UNAVAILABLE)
    message.opt.max_age = max(1, math.ceil(retry_after_s))
    set_uint_option(message, OUTCOME, Outcome.NOT_RUN)
    return message


def busy(retry_after_s: float) -> Message:
    """Return the answer that a later part of an exchange is refused.

    The request may have run, so the answer has no Outcome option.
    """
    message = not_run(retry_after_s)
    message.opt.delete_option(OUTCOME)
    return message


def unknown(echo: bytes | None = None) -> Message:
    """Return the answer that a request may or may not have run.

    :param echo: Echo value for the caller's next request.
    """
    message = Message(code=Code.GATEWAY_TIMEOUT)
    message.opt.echo = echo
    set_uint_option(message, OUTCOME, Outcome.UNKNOWN)
    return message


def challenge(echo: bytes) -> Message:
    """Return the answer that asks to repeat the request with an Echo value."""
    return Message(code=Code.UNAUTHORIZED, echo=echo)


def conflict() -> Message:
    """Return the answer to another request with a request id in use."""
    return Message(
        code=Code.CONFLICT,
        payload=b'request id was used for another request; choose a new one',
    )


def bad_request(detail: str) -> Message:
    """Return the answer to a malformed request."""
    return Message(code=Code.BAD_REQUEST, payload=detail.encode())
