"""Bearer tokens of owners and of the operator."""

from collections.abc import Sequence
from hashlib import blake2s
import hmac

from expression import Error
from expression import Ok
from expression import Result

from ibispitch.admin.errors import api_error
from ibispitch.admin.errors import ApiError
from ibispitch.admin.errors import ApiFault
from ibispitch.catalogue.editor import Actor
from ibispitch.settings.programs import TokenSettings


def actor_of(token: TokenSettings) -> Actor:
    """Return the actor of edits that are made with a token."""
    owners = None if token.operator else frozenset(token.owners)
    default = 'operator' if token.operator else '/'.join(sorted(token.owners))
    return Actor(token.name or default or 'unnamed', owners)


def authenticate(
    tokens: Sequence[TokenSettings], authorization: str | None
) -> Result[Actor, ApiError]:
    """Return the actor of a request.

    :param tokens: the tokens in the settings.
    :param authorization: value of the ``Authorization`` header, ``None`` if
        there is none.
    :returns: ``Ok`` of the actor or ``Error`` of :class:`ApiError`.
    """
    if not tokens:
        return Error(
            api_error(
                ApiFault.WRITES_DISABLED,
                'this balancer has no tokens, so it accepts no edits',
                'set tokens in its settings, or edit with ibispitchctl',
            )
        )
    scheme, _, presented = (authorization or '').partition(' ')
    digest = _digest(presented.strip())
    # All tokens are compared, each in constant time, so that the duration
    # reveals neither how much of a token is correct nor which one matches.
    # Comparing digests hides the lengths of the tokens.
    matching_tokens = [
        token
        for token in tokens
        if hmac.compare_digest(_digest(token.token), digest)
    ]
    if scheme.lower() != 'bearer' or not matching_tokens:
        return Error(
            api_error(
                ApiFault.UNAUTHENTICATED,
                'no valid bearer token',
                'send Authorization: Bearer with a token of the settings',
            )
        )
    return Ok(actor_of(matching_tokens[0]))


def _digest(token: str) -> bytes:
    # Header bytes that are not UTF-8 arrive as surrogates.
    return blake2s(token.encode(errors='surrogateescape')).digest()
