"""Commands for catalogue entries."""

from typing import Any

import click
import msgspec

from ibispitch.admin.answers import EntryAnswer
from ibispitch.catalogue.checks import parse_entry
from ibispitch.catalogue.errors import EditError
from ibispitch.catalogue.errors import EditFault
from ibispitch.ctl.options import entry_options
from ibispitch.ctl.options import examples
from ibispitch.ctl.options import FIELDS
from ibispitch.ctl.options import given_fields
from ibispitch.ctl.options import output_option
from ibispitch.ctl.options import to_document
from ibispitch.ctl.options import version_option
from ibispitch.ctl.session import Session
from ibispitch.ctl.session import to_table
from ibispitch.settings.loader import parse_struct

#: Paths of the fields that have a default.
UNSET = [
    path
    for path, _ in FIELDS.values()
    if path not in ('owner', 'class', 'addresses')
]


@click.group(
    epilog=examples(
        'ibispitchctl entries list',
        'ibispitchctl entries set --file returns.json',
        'ibispitchctl entries edit returns --ramp-s 20',
    )
)
def entries() -> None:
    """List and edit catalogue entries."""


@entries.command('list')
@output_option
@click.pass_obj
def list_entries(session: Session) -> None:
    """List all entries."""
    answer = session.entries()
    session.show(
        answer,
        lambda: to_table(
            ['SERVICE', 'OWNER', 'CLASS', 'PROTOCOL', 'ADDRESSES', 'VERSION'],
            [
                [
                    known.entry.service,
                    known.entry.owner,
                    known.entry.class_name,
                    known.entry.protocol,
                    ' '.join(known.entry.addresses),
                    known.version,
                ]
                for known in answer.entries.values()
            ],
        ),
    )


@entries.command()
@click.argument('service')
@output_option
@click.pass_obj
def show(session: Session, service: str) -> None:
    """Show one entry with its last edit."""
    known = session.entries().entries.get(service)
    if known is None:
        session.fail(
            EditError(
                EditFault.NOT_FOUND,
                f'there is no entry {service}',
                'list the entries and correct the name',
            )
        )
    session.show(known, lambda: _entry_table(known))


def _entry_table(known: EntryAnswer) -> str:
    document = msgspec.to_builtins(known.entry)
    document |= {
        f'limits.{key}': value for key, value in document['limits'].items()
    }
    del document['limits']
    document['addresses'] = ' '.join(document['addresses'])
    rows = [*document.items(), ('version', known.version)]
    rows += msgspec.structs.asdict(known.edit).items()
    return to_table([], rows)


@entries.command(
    'set',
    epilog=examples(
        'ibispitchctl entries set --file returns.json',
        'ibispitchctl entries set bench --owner asante --class interactive \\',
        '    --address 192.0.2.7:5683 --requests-per-s 200',
    ),
)
@click.argument('service', required=False)
@click.option(
    '--file',
    'file',
    type=click.File(encoding='utf-8'),
    help='Entry in JSON with comments; - for standard input.',
)
@entry_options
@version_option
@output_option
@click.pass_obj
def set_entry(
    session: Session,
    service: str | None,
    file: Any,
    expected: int | None,
    **fields: Any,
) -> None:
    """Create or replace an entry from a file, options, or both.

    Options override the file. Fields that neither gives get their default.
    """
    document = _read_document(file) if file else {}
    given = to_document(given_fields(fields))
    limits = document.get('limits')
    if isinstance(limits, dict) and 'limits' in given:
        given['limits'] = limits | given['limits']
    document |= given | ({'service': service} if service else {})
    entry = parse_entry(document)
    if entry.is_error():
        session.fail(entry.error)
    session.edit(lambda editor: editor.set(entry.ok, expected))


def _read_document(file: Any) -> dict[str, Any]:
    try:
        text = file.read()
    except UnicodeDecodeError:
        raise click.UsageError(f'{file.name} is not UTF-8 text') from None
    # Types and values are checked after the options have been added.
    result = parse_struct(text, file.name, dict[str, Any])
    if result.is_error():
        raise click.UsageError(str(result.error))
    return result.ok


@entries.command(
    epilog=examples(
        'ibispitchctl entries edit returns --flows 50000 --if-version 17',
        'ibispitchctl entries edit returns --unset limits.requests_per_s',
    )
)
@click.argument('service')
@entry_options
@click.option(
    '--unset',
    multiple=True,
    type=click.Choice(UNSET),
    help='Restores the default of a field; repeat for several.',
)
@version_option
@output_option
@click.pass_obj
def edit(
    session: Session,
    service: str,
    unset: tuple[str, ...],
    expected: int | None,
    **fields: Any,
) -> None:
    """Change some fields of an entry; --address replaces all addresses."""
    given = given_fields(fields)
    if given.keys() & set(unset):
        raise click.UsageError('--unset names a field that is set as well')
    changes = to_document(given | dict.fromkeys(unset))
    if not changes:
        raise click.UsageError('nothing to change; give at least one option')
    session.edit(lambda editor: editor.edit(service, changes, expected))


@entries.command()
@click.argument('service')
@version_option
@output_option
@click.pass_obj
def remove(session: Session, service: str, expected: int | None) -> None:
    """Remove an entry; its flows end."""
    session.edit(lambda editor: editor.remove(service, expected))
