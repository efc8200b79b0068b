"""Options that several commands share."""

from collections.abc import Callable
from typing import Any

import click

from ibispitch.ctl.session import Session


def _set_output(
    context: click.Context, _: click.Parameter, value: str | None
) -> None:
    session = context.find_object(Session)
    if value is not None and session is not None:
        session.output = value


output_option = click.option(
    '--output',
    type=click.Choice(['table', 'json']),
    callback=_set_output,
    expose_value=False,
    help='Form of the output; also before the command.',
)

version_option = click.option(
    '--if-version',
    'expected',
    type=click.IntRange(min=0),
    metavar='N',
    help='Refuse the edit if the version is not N; 0: if it exists.',
)

service_option = click.option(
    '--service', default='', help='Only agents of this service.'
)

datacentre_option = click.option(
    '--datacentre', default='', help='Only members of this data centre.'
)

#: Option and path in the entry document.
FIELDS: dict[str, tuple[str, Any]] = {
    'owner': ('owner', str),
    'class': ('class', str),
    'address': ('addresses', str),
    'protocol': ('protocol', str),
    'flows': ('limits.flows', int),
    'requests-per-s': ('limits.requests_per_s', float),
    'class-requests-per-s': ('limits.class_requests_per_s', float),
    'deadline-max-ms': ('limits.deadline_max_ms', int),
    'ramp-s': ('ramp_s', float),
    'idle-timeout-s': ('idle_timeout_s', float),
}


def entry_options(command: Callable) -> Callable:
    """Add one option for each field of an entry."""
    for name, (path, kind) in reversed(FIELDS.items()):
        is_list = path == 'addresses'
        command = click.option(
            f'--{name}',
            _parameter(name),
            type=kind,
            multiple=is_list,
            help=f'Sets {path}'
            + ('; repeat for several.' if is_list else '.'),
        )(command)
    return command


def given_fields(values: dict[str, Any]) -> dict[str, Any]:
    """Return the values that options give, by path in the entry.

    :param values: parameters of a command with :func:`entry_options`.

    >>> given_fields({'field_flows': 5, 'field_address': ()})
    {'limits.flows': 5}
    """
    found = (
        (path, values.get(_parameter(name)))
        for name, (path, _) in FIELDS.items()
    )
    return {path: value for path, value in found if value not in (None, ())}


def to_document(value_by_path: dict[str, Any]) -> dict[str, Any]:
    """Return the part of an entry document with these values.

    >>> to_document({'limits.flows': 5, 'addresses': ('127.0.0.1:1',)})
    {'limits': {'flows': 5}, 'addresses': ['127.0.0.1:1']}
    """
    document: dict[str, Any] = {}
    for path, value in value_by_path.items():
        *parents, last = path.split('.')
        part = document
        for parent in parents:
            part = part.setdefault(parent, {})
        part[last] = list(value) if isinstance(value, tuple) else value
    return document


def _parameter(name: str) -> str:
    return 'field_' + name.replace('-', '_')


def examples(*lines: str) -> str:
    """Return an epilog that shows command lines as they are."""
    return '\b\n' + '\n'.join(['Examples:', *(f'  {line}' for line in lines)])
