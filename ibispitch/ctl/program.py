"""The ``ibispitchctl`` command group."""

import click
from click.shell_completion import get_completion_class

import ibispitch
from ibispitch.ctl.datacentres import datacentre
from ibispitch.ctl.entries import entries
from ibispitch.ctl.explain import explain
from ibispitch.ctl.fleet import balancers
from ibispitch.ctl.fleet import state
from ibispitch.ctl.fleet import top
from ibispitch.ctl.fleet import upstreams
from ibispitch.ctl.fleet import versions
from ibispitch.ctl.load import load
from ibispitch.ctl.options import examples
from ibispitch.ctl.session import CONFIG_VARIABLE
from ibispitch.ctl.session import Session

PROGRAM = 'ibispitchctl'
COMPLETION_VARIABLE = '_IBISPITCHCTL_COMPLETE'


@click.group(
    name=PROGRAM,
    epilog=examples(
        'ibispitchctl --config ctl.json entries list',
        'ibispitchctl --config ctl.json datacentre out tema',
        'ibispitchctl --config ctl.json top --service returns',
    ),
)
@click.option(
    '--config',
    metavar='FILE',
    help=f'Settings in JSON with comments; default: ${CONFIG_VARIABLE}.',
)
@click.option(
    '--output',
    type=click.Choice(['table', 'json']),
    default='table',
    show_default=True,
    help='Form of the output.',
)
@click.version_option(ibispitch.__version__, prog_name=PROGRAM)
@click.pass_context
def main(context: click.Context, config: str | None, output: str) -> None:
    """Edit the catalogue and show the state of an ibispitch installation.

    Edits are made in the store, or through the administration API if the
    settings have a token. State is read from the administration API of a
    balancer. Exit codes: 0 done, 2 usage or settings, 3 invalid entry, 4 not
    found, 5 conflict, 6 forbidden, 7 store, 8 outcome unknown, 9 no balancer.
    """
    context.obj = Session(config, output)


@main.command('check-config')
@click.pass_obj
def check_config(session: Session) -> None:
    """Check the settings file and exit."""
    settings = session.settings
    session.show(
        {'ok': True, 'cluster': settings.store.cluster},
        lambda: f'settings ok, cluster {settings.store.cluster}',
    )


@main.command(
    epilog=examples(
        'eval "$(ibispitchctl completion bash)"',
    )
)
@click.argument('shell', type=click.Choice(['bash', 'zsh', 'fish']))
def completion(shell: str) -> None:
    """Print a shell completion script."""
    complete = get_completion_class(shell)(
        main, {}, PROGRAM, COMPLETION_VARIABLE
    )
    # complete.source() would start the shell to find out its version.
    click.echo(complete.source_template % complete.source_vars())


for command in (
    entries,
    datacentre,
    state,
    upstreams,
    balancers,
    versions,
    top,
    explain,
    load,
):
    main.add_command(command)
