"""Routing tables of all services, for a balancer."""

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
from ibispitch.routing.eligibility import eligible_agents
from ibispitch.routing.slots import SLOT_MASK
from ibispitch.routing.slots import SlotTable

#: Index of the home of each slot, and the address of the agent at an index.
Route = tuple[array, list[Address | None]]


class RoutingCore:
    """Routes packets to the homes of their slots.

    It must be given every accepted change of entries, data centres and agent
    records. Their versions are not compared here but where the records are
    received. No state is kept for a flow.
    """

    def __init__(self):
        self._route_by_number: dict[ServiceNumber, Route] = {}
        self._table_by_service: dict[ServiceName, SlotTable] = {}
        self._records_by_service: dict[
            ServiceName, dict[AgentId, AgentRecord]
        ] = {}
        self._service_by_agent: dict[AgentId, ServiceName] = {}
        self._datacentres_out: set[DatacentreName] = set()
        #: Services with changes since their route was computed.
        self._stale_services: dict[ServiceNumber, ServiceName] = {}

    def route(self, number: ServiceNumber, flow: FlowId) -> Address | None:
        """Return the address of the home of a flow's slot.

        :param number: number of the service that the packet is sent to.
        :param flow: flow of the packet.
        :returns: the address, ``None`` if the service is not in the
            catalogue or has no agent.
        """
        route = self._route_by_number.get(number) or self._compute_route(
            number
        )
        if route is None:
            return None
        homes, addresses = route
        return addresses[homes[xxh3_64_intdigest(flow, number) & SLOT_MASK]]

    def set_entry(self, service: ServiceName, is_present: bool) -> None:
        """Add a service, or remove it.

        :param service: name of the service.
        :param is_present: whether the catalogue has an entry for it.
        """
        if not is_present:
            self._route_by_number.pop(service_number(service), None)
            self._stale_services.pop(service_number(service), None)
            self._table_by_service.pop(service, None)
        elif service not in self._table_by_service:
            self._table_by_service[service] = SlotTable()
            self._mark_stale(service)

    def set_agent(self, record: AgentRecord) -> None:
        """Apply the newest record of an agent, which may be a lost one."""
        former = self._service_by_agent.get(record.agent_id)
        if former is not None and former != record.service:
            self._remove_agent(record.agent_id)
        if record.state.is_present:
            self._service_by_agent[record.agent_id] = record.service
            records = self._records_by_service.setdefault(record.service, {})
            records[record.agent_id] = record
            self._mark_stale(record.service)
        else:
            self._remove_agent(record.agent_id)

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
                self._mark_stale(service)

    def _remove_agent(self, agent: AgentId) -> None:
        service = self._service_by_agent.pop(agent, None)
        if service is None:
            return
        records = self._records_by_service[service]
        del records[agent]
        if not records:
            del self._records_by_service[service]
        self._mark_stale(service)

    def _mark_stale(self, service: ServiceName) -> None:
        """Mark the route of a service as stale; the next packet computes it.

        A starting balancer receives the agents of a service one after the
        other. The table is then computed once and not for each of them.
        """
        if service in self._table_by_service:
            number = service_number(service)
            self._route_by_number.pop(number, None)
            self._stale_services[number] = service

    def _compute_route(self, number: ServiceNumber) -> Route | None:
        """Compute the table and the addresses of a stale service.

        :returns: ``None`` if the service is not stale.
        """
        service = self._stale_services.pop(number, None)
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
