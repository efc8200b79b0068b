"""Metrics over HTTP, in the form in which the platform fetches them."""

import asyncio
from pathlib import Path
import tomllib

from prometheus_client.parser import text_string_to_metric_families

from ibispitch.histograms import LatencyHistograms
from ibispitch.histograms import MAX_HISTOGRAMS
from ibispitch.histograms import Series
from ibispitch.platform.http import Request
from ibispitch.platform.metrics import METRICS_PATH
from ibispitch.platform.metrics import METRICS_PORT
from ibispitch.settings.overload import Mode
from ibispitch.settings.overload import OverloadSettings
from ibispitch.settings.overload import RetrySettings
from ibispitch.settings.overload import SchedulingSettings
from testbed.flow_network import FlowNetwork
from testbed.flow_platform import FEED
from testbed.flow_platform import QUOTE
from testbed.simulated_loop import simulate

ROOT = Path(__file__).parent.parent.parent


async def scrape(host) -> dict[str, list]:
    handler = host.handlers[METRICS_PORT]
    response = await handler(Request('GET', METRICS_PATH, b''))
    assert response.status == 200
    families = text_string_to_metric_families(response.body.decode())
    return {family.name: family.samples for family in families}


def test_counters_and_histograms_of_a_served_request():
    """Guards against metrics that differ from what callers measure."""

    async def scenario(loop):
        network = FlowNetwork(loop, {'accra': 1}, [('accra', 'counter')])
        network.configure(1, (FEED, QUOTE))
        await network.start()
        callers = [network.add_caller('accra', QUOTE) for _ in range(5)]
        await network.send_requests(callers, 20, 2)
        await asyncio.sleep(1)
        hosts = (network.balancers[0], network.agents[0])
        return network, [await scrape(host) for host in hosts]

    network, (balancer, agent) = simulate(scenario)
    asked = sum(len(c.requests) for c in network.caller_by_ip.values())
    placed = [
        sample.value
        for sample in balancer['ibispitch_events']
        if sample.labels == {'event': 'flow.placed'}
    ]
    assert placed == [asked]
    counts = [
        sample.value
        for sample in agent['ibispitch_request_latency_seconds']
        if sample.name.endswith('_count')
        and sample.labels == {'service': 'counter', 'kind': 'unsafe'}
    ]
    assert counts == [asked]
    assert agent['ibispitch_requests_running'][0].value == 0


def test_number_of_series_is_bounded():
    """Guards against unlimited memory for the series of many services."""
    histograms = LatencyHistograms()
    for number in range(MAX_HISTOGRAMS + 10):
        histograms.record(Series('wait', f's-{number}', 'safe'), 0.1)
    assert len(histograms.histogram_by_series) == MAX_HISTOGRAMS
    assert histograms.left_out == 10


def test_deploy_file_has_the_port_and_path():
    """Guards against metrics at another address than the platform fetches."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    wanted = f'{METRICS_PORT}{METRICS_PATH}'
    assert {r['metrics'] for r in deploy['roles'].values()} == {wanted}


def _value_by_labels(samples, *labels):
    return {
        tuple(sample.labels[label] for label in labels): sample.value
        for sample in samples
        if sample.name.endswith('_total')
    }


def test_held_and_refused_requests_are_counted():
    """Guards against an overload that the metrics don't show.

    One upstream gets many times the requests that it can run.
    """

    async def scenario(loop):
        network = FlowNetwork(loop, {'accra': 1}, [('accra', 'counter')])
        network.overload = OverloadSettings(
            scheduling=SchedulingSettings(Mode.ON),
            retries=RetrySettings(Mode.ON),
        )
        network.configure(1, (FEED, QUOTE))
        await network.start()
        callers = [network.add_caller('accra', QUOTE) for _ in range(100)]
        await network.send_requests(callers, 600, 3)
        await asyncio.sleep(5)
        hosts = (network.balancers[0], network.agents[0])
        return [await scrape(host) for host in hosts]

    balancer, agent = simulate(scenario)
    count_by_event = _value_by_labels(agent['ibispitch_events'], 'event')
    outcomes = _value_by_labels(
        agent['ibispitch_scheduled_requests'], 'service', 'kind', 'outcome'
    )
    key = ('counter', 'unsafe')
    held = outcomes[*key, 'held']
    assert held == count_by_event['request.held',] > 0
    released = sum(
        outcomes.get((*key, outcome), 0)
        for outcome in ('passed_on_time', 'passed_late')
    )
    assert released == count_by_event['request.released',]
    assert agent['ibispitch_requests_held'][0].value == 0
    assert agent['ibispitch_requests_held_bytes'][0].value == 0
    refused = _value_by_labels(
        balancer['ibispitch_refused_openings'], 'service', 'kind', 'reason'
    )
    assert refused[*key, 'cannot be served in time'] > 0
    attempts = _value_by_labels(
        balancer['ibispitch_further_attempts'], 'service'
    )
    assert attempts['counter',] > 0


def test_sent_bytes_by_content_and_data_centre():
    """Guards against traffic between data centres that nobody can explain."""

    async def scenario(loop):
        agents = [(name, 'counter') for name in ('accra', 'kumasi')]
        network = FlowNetwork(loop, {'accra': 2, 'kumasi': 2}, agents)
        network.configure(1, (FEED, QUOTE))
        await network.start()
        callers = [network.add_caller('accra', QUOTE) for _ in range(5)]
        await network.send_requests(callers, 20, 2)
        samples = [await scrape(host) for host in network.balancers]
        return network, samples

    network, scraped = simulate(scenario)
    for host, families in zip(network.balancers, scraped, strict=True):
        bytes_by_labels = {
            (sample.labels['content'], sample.labels['reach']): sample.value
            for sample in families['ibispitch_sent_bytes']
        }
        to_callers = network.sent_bytes[host.name] - sum(
            bytes_by_labels.values()
        )
        assert to_callers == 0
        assert bytes_by_labels['balancer_status', 'same_datacentre'] > 0
        assert 'unknown' not in {name for name, _ in bytes_by_labels}
    reporters = [
        families
        for families in scraped
        if any(
            sample.labels
            == {'content': 'datacentre_report', 'reach': 'other_datacentre'}
            for sample in families['ibispitch_sent_bytes']
        )
    ]
    assert len(reporters) == 2
