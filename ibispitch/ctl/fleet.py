"""Commands that show the state of the fleet."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import itertools

import click
from expression import Result

from ibispitch.admin import AgentView
from ibispitch.admin import FleetState
from ibispitch.ctl.options import datacentre_option
from ibispitch.ctl.options import examples
from ibispitch.ctl.options import output_option
from ibispitch.ctl.options import service_option
from ibispitch.ctl.session import printable
from ibispitch.ctl.session import Session
from ibispitch.ctl.session import to_json
from ibispitch.ctl.session import to_table


async def _query_state(
    session: Session, service: str, datacentre: str
) -> Result:
    async with session.client() as client:
        return await client.state(service, datacentre)


def _show_state(
    session: Session,
    service: str,
    datacentre: str,
    view: Callable[[FleetState], str],
) -> None:
    fleet = session.run(_query_state(session, service, datacentre))
    session.show(fleet, lambda: view(fleet))


@click.command(
    epilog=examples(
        'ibispitchctl state',
        'ibispitchctl state --service returns --output json',
    )
)
@service_option
@datacentre_option
@output_option
@click.pass_obj
def state(session: Session, service: str, datacentre: str) -> None:
    """Show a summary of the fleet."""
    _show_state(session, service, datacentre, summary)


@click.command()
@service_option
@datacentre_option
@output_option
@click.pass_obj
def upstreams(session: Session, service: str, datacentre: str) -> None:
    """Show each upstream with the load of its agent."""
    _show_state(session, service, datacentre, upstream_table)


@click.command()
@datacentre_option
@output_option
@click.pass_obj
def balancers(session: Session, datacentre: str) -> None:
    """Show each balancer with its health."""
    _show_state(session, '', datacentre, balancer_table)


@click.command(
    epilog=examples(
        'ibispitchctl versions',
    )
)
@output_option
@click.pass_obj
def versions(session: Session) -> None:
    """Show the versions in force and the balancers with other versions."""
    _show_state(session, '', '', version_table)


@click.command(
    epilog=examples(
        'ibispitchctl top --service returns --interval 1',
    )
)
@service_option
@datacentre_option
@click.option(
    '--interval',
    type=click.FloatRange(min=0.2),
    default=2.0,
    show_default=True,
    help='Seconds between two views.',
)
@click.option(
    '--count', type=click.IntRange(min=1), help='Stop after this many views.'
)
@output_option
@click.pass_obj
def top(
    session: Session,
    service: str,
    datacentre: str,
    interval: float,
    count: int | None,
) -> None:
    """Show balancers and upstreams and refresh the view."""
    try:
        asyncio.run(_refresh(session, service, datacentre, interval, count))
    except KeyboardInterrupt:
        # An interrupt is the usual way to end this command.
        return


async def _refresh(
    session: Session,
    service: str,
    datacentre: str,
    interval_s: float,
    count: int | None,
) -> None:
    for number in itertools.count(1):
        outcome = await _query_state(session, service, datacentre)
        click.clear()
        if outcome.is_error():
            # The view continues, so that it can be used during an outage.
            text = f'{outcome.error.message}; {outcome.error.remedy}'
            click.echo(printable(text), err=True)
        elif session.output == 'json':
            click.echo(to_json(outcome.ok))
        else:
            click.echo(summary(outcome.ok))
            click.echo('\n' + upstream_table(outcome.ok))
        if number == count:
            return
        await asyncio.sleep(interval_s)


def summary(fleet: FleetState) -> str:
    """Return the totals of the fleet as tables."""
    local = fleet.local
    out = [name for name, known in local.datacentres.items() if known == 'out']
    answered = sum(view.health is not None for view in fleet.balancers)
    differing = sum(bool(view.differs) for view in fleet.balancers)
    rows = [
        ['asked balancer', local.balancer_id],
        ['health', _health_text(local.health)],
        ['balancers', f'{len(fleet.balancers)}, {answered} answered'],
        ['balancers with other versions', differing],
        ['documents in force', len(local.versions)],
        ['malformed values', sum(local.malformed.values())],
        ['data centres out', ' '.join(out) or 'none'],
    ]
    by_service = itertools.groupby(
        sorted(fleet.agents, key=_service), key=_service
    )
    services = [[name, *_totals(agents)] for name, agents in by_service]
    return '\n\n'.join(
        [
            to_table([], rows),
            to_table(
                [
                    'SERVICE',
                    'UPSTREAMS',
                    'ANSWERED',
                    'FLOWS',
                    'IN FLIGHT',
                    'QUEUED',
                ],
                services,
            ),
        ]
    )


def _service(view: AgentView) -> str:
    return view.service


def _totals(agents: Iterable[AgentView]) -> list[int]:
    views = list(agents)
    loads = [view.load for view in views if view.load]
    return [
        len(views),
        len(loads),
        sum(load.flows for load in loads),
        sum(load.in_flight for load in loads),
        sum(load.queued for load in loads),
    ]


def upstream_table(fleet: FleetState) -> str:
    """Return the upstreams as a table."""
    rows = []
    for view in fleet.agents:
        load = view.load
        loads = (
            [load.flows, load.in_flight, load.queued, f'{load.limit:g}']
            if load
            else ['-'] * 4
        )
        rows.append(
            [
                view.agent_id,
                view.service,
                view.datacentre,
                view.state,
                *loads,
                view.slots,
                view.reply.value,
            ]
        )
    return to_table(
        [
            'AGENT',
            'SERVICE',
            'DATA CENTRE',
            'STATE',
            'FLOWS',
            'IN FLIGHT',
            'QUEUED',
            'LIMIT',
            'SLOTS',
            'REPLY',
        ],
        rows,
    )


def balancer_table(fleet: FleetState) -> str:
    """Return the balancers as a table."""
    return to_table(
        [
            'BALANCER',
            'DATA CENTRE',
            'STATE',
            'ADMIN ADDRESS',
            'REPLY',
            'OTHER VERSIONS',
            'HEALTH',
        ],
        [
            [
                view.balancer_id,
                view.datacentre,
                view.state,
                view.admin_address,
                view.reply.value,
                '-' if view.differs is None else len(view.differs),
                _health_text(view.health),
            ]
            for view in fleet.balancers
        ],
    )


def version_table(fleet: FleetState) -> str:
    """Return the version of each key and the balancers with other versions."""
    keys = set(fleet.local.versions)
    keys.update(*(view.differs or () for view in fleet.balancers))
    rows = []
    for key in sorted(keys):
        others = [
            f'{view.balancer_id}={view.differs[key]}'
            for view in fleet.balancers
            if view.differs and key in view.differs
        ]
        version = fleet.local.versions.get(key, 0)
        rows.append([key, version, ' '.join(others) or 'none'])
    unknown = [
        f'{view.balancer_id} ({view.reply.value})'
        for view in fleet.balancers
        if view.differs is None
    ]
    table = to_table(['KEY', 'VERSION', 'OTHER VERSIONS'], rows)
    return f'{table}\nunknown at: {printable(" ".join(unknown) or "none")}'


def _health_text(health) -> str:
    if health is None:
        return '-'
    return 'serving' if health.is_serving else f'not serving: {health.reason}'
