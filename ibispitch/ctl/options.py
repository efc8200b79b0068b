"""Options that are used by several commands."""

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

#: Path in the entry document and type of its value, by option.
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
    """Return the values of the options that were given, by path in the entry.

    :param values: parameters of a command with :func:`entry_options`.

    >>> given_fields({'field_flows': 5, 'field_address': ()})
    {'limits.flows': 5}
    """
    paths_and_values = (
        (path, values.get(_parameter(name)))
        for name, (path, _) in FIELDS.items()
    )
    return {
        path: value
        for path, value in paths_and_values
        if value not in (None, ())
    }


def to_document(value_by_path: dict[str, Any]) -> dict[str, Any]:
    """Return an entry document with only these values.

    :param value_by_path: values by path in the document.

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
    """Return a help epilog with example command lines, without wrapping."""
    return '\b\n' + '\n'.join(['Examples:', *(f'  {line}' for line in lines)])
