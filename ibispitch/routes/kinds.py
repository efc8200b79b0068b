"""Kinds of requests, and what decisions about their flows depend on.

The operator names the kind of a route's requests. Only the two ends of a flow
send requests, so no decision here depends on whether a request may be
repeated. An unknown kind is served like one without special properties.
"""

from collections.abc import Callable
import enum
from typing import NewType

KindName = NewType('KindName', str)


class LargeBody(enum.Enum):
    """Which body of a request is large, if any."""

    NONE = 'none'
    #: From the caller through a balancer and an agent to the upstream.
    REQUEST = 'request'
    #: From the upstream through its agent to the caller.
    ANSWER = 'answer'


class RequestKind:
    """Properties of a kind of requests; those of an unknown kind."""

    #: Whether a flow is expected to carry several requests until the flows of
    #: its destination were observed, see :mod:`ibispitch.reuse.core`.
    expects_long_flows = False
    large_body = LargeBody.NONE


_kind_by_name: dict[KindName, type[RequestKind]] = {}


def _register(
    name: str,
) -> Callable[[type[RequestKind]], type[RequestKind]]:
    def add(kind: type[RequestKind]) -> type[RequestKind]:
        _kind_by_name[KindName(name)] = kind
        return kind

    return add


@_register('safe')
class SafeKind(RequestKind):
    """Idempotent requests, often many on one flow."""

    expects_long_flows = True


@_register('unsafe')
class UnsafeKind(RequestKind):
    """Requests that run at most once."""


@_register('upload')
class UploadKind(RequestKind):
    """Requests with a large body."""

    large_body = LargeBody.REQUEST


@_register('download')
class DownloadKind(RequestKind):
    """Idempotent requests with a large answer."""

    large_body = LargeBody.ANSWER


def is_known(name: KindName) -> bool:
    """Return whether a kind is registered.

    >>> is_known(KindName('download')), is_known(KindName('batch'))
    (True, False)
    """
    return name in _kind_by_name


def kind_named(name: KindName) -> type[RequestKind]:
    """Return the properties of a kind, defaults if it is not known."""
    return _kind_by_name.get(name, RequestKind)
