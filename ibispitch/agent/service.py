"""The decision cores of an agent, joined for one service."""

import os
import random

from ibispitch.admission.core import AdmissionCore
from ibispitch.affinity import AffinityCore
from ibispitch.affinity import PeerInfo
from ibispitch.agent.limited import LimitedAdmission
from ibispitch.catalogue.documents import Entry
from ibispitch.ids import AgentId
from ibispitch.ids import service_number
from ibispitch.limits.core import LimitCore
from ibispitch.limits.messages import ShareReport
from ibispitch.membership.records import AgentRecord
from ibispitch.membership.records import ServiceView
from ibispitch.requests import GateSettings
from ibispitch.requests import make_gate
from ibispitch.retry.budget import RetryBudget
from ibispitch.telemetry import log
from ibispitch.telemetry import Severity

#: Deadline of a request that carries none, in seconds.
DEFAULT_DEADLINE_S = 30.0


class ServiceCores:
    """Affinity, gate, admission and limits of one upstream.

    The slices own their state; this class only passes views on.

    :param record: own record.
    :param entry: catalogue entry of the service.
    :param rng: source of random choices.
    :param now: time in seconds.
    """

    def __init__(
        self,
        record: AgentRecord,
        entry: Entry,
        rng: random.Random,
        now: float,
    ):
        self_id = record.agent_id
        self.entry = entry
        self._datacentre = record.datacentre
        self._is_out = False
        self._incarnation = record.incarnation
        self._echo_key = os.urandom(32)
        self.admission = AdmissionCore(
            self_id,
            record.slots,
            record.connections,
            entry.ramp_s,
            rng,
            now,
            record.incarnation,
        )
        self.limits = LimitCore(self_id, record.incarnation, now)
        self.limits.on_entry(entry, now)
        self.limited = LimitedAdmission(self.admission, self.limits, entry)
        self.gate = make_gate(
            entry.protocol,
            self._gate_settings(),
            self.limited,
            RetryBudget(now=now),
            rng,
        )
        self.affinity = AffinityCore(
            PeerInfo(
                self_id, record.address, record.datacentre, record.incarnation
            ),
            service_number(record.service),
            self.admission.placement,
            self._accepts_flow,
            lambda frame: self.gate.opens_flow(frame.payload),
        )
        self.share_reports: list[ShareReport] = []

    def _gate_settings(self) -> GateSettings:
        return GateSettings(
            incarnation=self._incarnation,
            echo_key=self._echo_key,
            deadline_default_s=DEFAULT_DEADLINE_S,
            deadline_max_s=self.entry.limits.deadline_max_ms / 1000,
            idle_timeout_s=self.entry.idle_timeout_s,
        )

    def _accepts_flow(self, now: float) -> bool:
        loads = self.admission.loads
        elsewhere = sum(
            load.flows
            for agent_id in loads.peers
            if (load := loads.load(agent_id, now))
        )
        return self.admission.is_flow_allowed(
            now
        ) and self.limits.is_flow_allowed(
            self.admission.flows.open_flows, int(elsewhere), now
        )

    def on_view(self, view: ServiceView, self_id: AgentId, now: float) -> None:
        """Pass a view on to all cores but affinity and gate."""
        agent_ids = [record.agent_id for record in view.agents]
        self.admission.set_agents(agent_ids)
        self.limits.set_agents(agent_ids, now)
        if view.entry is not None and view.entry != self.entry:
            if view.entry.protocol != self.entry.protocol:
                log(
                    Severity.WARNING,
                    'agent.protocol_changed',
                    service=view.entry.service,
                    protocol=view.entry.protocol,
                    remedy='restart the agent',
                )
            self.entry = view.entry
            self.limits.on_entry(view.entry, now)
            self.limited.set_labels(view.entry)
            self.admission.set_ramp(view.entry.ramp_s)
            self.gate.set_settings(self._gate_settings())
        was_out = self._is_out
        self._is_out = self._datacentre in view.datacentres_out
        if was_out and not self._is_out:
            # Nothing is known of what happened to the upstream meanwhile,
            # and the whole data centre returns at once.
            self.admission.restart_ramp(now)

    def rebalance(self, now: float) -> None:
        """Take in the collected share reports."""
        reports, self.share_reports = self.share_reports, []
        self.limits.rebalance(reports, now)
