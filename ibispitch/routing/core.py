"""Tables of all services, as a balancer uses them."""

from array import array

from xxhash import xxh3_64_intdigest

from ibispitch.ids import Address
from ibispitch.ids import AgentId
from ibispitch.ids import DatacentreName
from ibispitch.ids import FlowId
from ibispitch.ids import service_number
from ibispitch.ids import ServiceName
from ibispitch.ids import ServiceNumber
from ibispitch.membership.records import AgentRecord
from ibispitch.routing.slots import SLOT_MASK
from ibispitch.routing.slots import SlotTable
from ibispitch.routing.views import eligible_agents

Route = tuple[array, list[Address | None]]


class RoutingCore:
    """Routes packets to the homes of their slots.

    The caller passes on every accepted change of entries, data centres and
    agent records. Versions are compared by the spread of the records, not
    here. No state is kept for a flow.
    """

    def __init__(self):
        self._route_by_number: dict[ServiceNumber, Route] = {}
        self._table_by_service: dict[ServiceName, SlotTable] = {}
        self._records_by_service: dict[
            ServiceName, dict[AgentId, AgentRecord]
        ] = {}
        self._service_by_agent: dict[AgentId, ServiceName] = {}
        self._datacentres_out: set[DatacentreName] = set()
        #: Services with changes since their route was derived.
        self._stale: dict[ServiceNumber, ServiceName] = {}

    def route(self, number: ServiceNumber, flow: FlowId) -> Address | None:
        """Return where a packet goes.

        :param number: number of the service that was addressed.
        :param flow: flow of the packet.
        :returns: the address of the home of the flow's slot; ``None`` if
            the service is not in the catalogue or has no agent.
        """
        route = self._route_by_number.get(number) or self._derive(number)
        if route is None:
            return None
        homes, addresses = route
        return addresses[homes[xxh3_64_intdigest(flow, number) & SLOT_MASK]]

    def set_entry(self, service: ServiceName, is_present: bool) -> None:
        """Add a service of the catalogue, or remove it.

        :param service: name of the service.
        :param is_present: whether the catalogue has an entry for it.
        """
        if not is_present:
            self._route_by_number.pop(service_number(service), None)
            self._stale.pop(service_number(service), None)
            self._table_by_service.pop(service, None)
        elif service not in self._table_by_service:
            self._table_by_service[service] = SlotTable()
            self._refresh(service)

    def set_agent(self, record: AgentRecord) -> None:
        """Apply the newest record of an agent, also of a lost one."""
        former = self._service_by_agent.get(record.agent_id)
        if former is not None and former != record.service:
            self._forget(record.agent_id)
        if record.state.is_present:
            self._service_by_agent[record.agent_id] = record.service
            records = self._records_by_service.setdefault(record.service, {})
            records[record.agent_id] = record
            self._refresh(record.service)
        else:
            self._forget(record.agent_id)

    def set_datacentre(self, name: DatacentreName, is_out: bool) -> None:
        """Take a data centre out of service, or back in."""
        if is_out == (name in self._datacentres_out):
            return
        (
            self._datacentres_out.add
            if is_out
            else self._datacentres_out.discard
        )(name)
        for service, records in self._records_by_service.items():
            if any(record.datacentre == name for record in records.values()):
                self._refresh(service)

    def _forget(self, agent: AgentId) -> None:
        service = self._service_by_agent.pop(agent, None)
        if service is None:
            return
        records = self._records_by_service[service]
        del records[agent]
        if not records:
            del self._records_by_service[service]
        self._refresh(service)

    def _refresh(self, service: ServiceName) -> None:
        """Derive the route again when the next packet needs it.

        A balancer that starts receives all agents of a service one after
        the other; its table is then computed once and not once for each.
        """
        if service in self._table_by_service:
            number = service_number(service)
            self._route_by_number.pop(number, None)
            self._stale[number] = service

    def _derive(self, number: ServiceNumber) -> Route | None:
        """Derive the table and the addresses of a service again."""
        service = self._stale.pop(number, None)
        if service is None:
            return None
        table = self._table_by_service[service]
        records = {
            record.agent_id: record
            for record in eligible_agents(
                self._records_by_service.get(service, {}).values(),
                self._datacentres_out,
            )
        }
        table.update(records)
        addresses = [
            None if agent is None else records[agent].address
            for agent in table.agents
        ]
        route = table.homes, addresses
        self._route_by_number[number] = route
        return route
