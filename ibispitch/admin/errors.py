"""Errors of the administration API and their HTTP status."""

import enum

from aiohttp import web
import msgspec

from ibispitch.catalogue.documents import Edit
from ibispitch.catalogue.errors import EditError
from ibispitch.catalogue.errors import EditFault


class ApiFault(enum.Enum):
    """Kinds of errors other than those of edits."""

    #: The request does not have the documented form.
    BAD_REQUEST = 'bad_request'
    #: The bearer token is missing or unknown.
    UNAUTHENTICATED = 'unauthenticated'
    #: The balancer has no tokens in its settings.
    WRITES_DISABLED = 'writes_disabled'
    #: There is no such path, or metrics are not served.
    NO_SUCH_PATH = 'no_such_path'
    #: The path does not support this method.
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    #: The request body is too large.
    TOO_LARGE = 'too_large'


#: HTTP status by kind of error, which docs/admin.md lists as well.
STATUS_BY_FAULT: dict[str, int] = {
    ApiFault.BAD_REQUEST.value: 400,
    ApiFault.UNAUTHENTICATED.value: 401,
    ApiFault.WRITES_DISABLED.value: 403,
    ApiFault.NO_SUCH_PATH.value: 404,
    ApiFault.METHOD_NOT_ALLOWED.value: 405,
    ApiFault.TOO_LARGE.value: 413,
    EditFault.INVALID.value: 400,
    EditFault.FORBIDDEN.value: 403,
    EditFault.NOT_FOUND.value: 404,
    EditFault.CONFLICT.value: 409,
    EditFault.ADDRESS_IN_USE.value: 409,
    EditFault.NUMBER_COLLISION.value: 409,
    EditFault.MALFORMED_DOCUMENT.value: 409,
    EditFault.STORE_REJECTED.value: 502,
    EditFault.STORE_UNAVAILABLE.value: 503,
    EditFault.OUTCOME_UNKNOWN.value: 504,
}


class ApiError(msgspec.Struct, frozen=True):
    """Body of an error answer, under the key ``error``.

    :param fault: an :class:`ApiFault` or
        :class:`~ibispitch.catalogue.errors.EditFault` value.
    :param message: what failed.
    :param remedy: what the user can do.
    :param other: the edit that was made first, for conflicts.
    :param edit_id: id of the edit whose outcome is unknown.
    """

    fault: str
    message: str
    remedy: str
    other: Edit | None = None
    edit_id: str = ''


class ErrorAnswer(msgspec.Struct, frozen=True):
    """An error answer."""

    error: ApiError


def api_error(fault: ApiFault, message: str, remedy: str) -> ApiError:
    """Return an error of the API itself."""
    return ApiError(fault.value, message, remedy)


def from_edit_error(error: EditError) -> ApiError:
    """Return the API error of an edit error."""
    return ApiError(
        error.fault.value,
        error.message,
        error.remedy,
        error.other,
        error.edit_id,
    )


def error_response(error: ApiError) -> web.Response:
    """Return the HTTP answer for an error."""
    headers = (
        {'WWW-Authenticate': 'Bearer'}
        if error.fault == ApiFault.UNAUTHENTICATED.value
        else {}
    )
    return web.Response(
        status=STATUS_BY_FAULT[error.fault],
        body=msgspec.json.encode(ErrorAnswer(error)),
        content_type='application/json',
        headers=headers,
    )
