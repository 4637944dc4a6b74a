"""Conversion of load and demand between the router's types and the messages of hosts."""

from collections.abc import Iterable, Mapping
from dataclasses import fields

import xxhash

from greengagestage.ids import InstanceId, ServiceName
from greengagestage.routing import (
    Demand,
    PrefillSamples,
    RouteTraffic,
    UpstreamLoad,
    UrgencyTraffic,
)

from ._peer_messages import DemandEntry, LoadEntry, RouteEntry, UrgencyEntry, Work

Loads = Mapping[InstanceId, UpstreamLoad]
Demands = Mapping[ServiceName, Demand]


def build_work(loads: Loads, demands: Demands) -> Work:
    """Return load and demand as hosts send them to each other."""
    return Work(
        [_encode_load(instance, load) for instance, load in loads.items()],
        [_encode_demand(service, demand) for service, demand in demands.items()],
    )


def read_work(work: Work, instances: Iterable[InstanceId]) -> tuple[Loads, Demands]:
    """Return the load and demand of a message; load of unknown instances is left out."""
    names = {_hash_instance(instance): instance for instance in instances}
    loads = {
        names[entry.upstream]: _decode_load(entry)
        for entry in work.loads
        if entry.upstream in names
    }
    return loads, {entry.service: _decode_demand(entry) for entry in work.demands}


def _hash_instance(instance: InstanceId) -> int:
    return xxhash.xxh32_intdigest(instance.encode())


def _encode_load(instance: InstanceId, load: UpstreamLoad) -> LoadEntry:
    return LoadEntry(
        _hash_instance(instance),
        round(load.prefill_s * 1_000),
        load.sensitive_requests,
        load.tolerant_requests,
        round(load.tokens / 1_000),
        round(load.gap_s * 1_000) * load.requests,
        int(load.stalled),
        round(load.tolerant_prefill_s * 100),
    )


def _encode_demand(service: ServiceName, demand: Demand) -> DemandEntry:
    samples = demand.prefill
    return DemandEntry(
        service,
        round(demand.sensitive * 1_000),
        round(demand.tolerant * 1_000),
        [_encode_traffic(route, traffic) for route, traffic in demand.routes.items()],
        [round(getattr(samples, each.name)) for each in fields(PrefillSamples)],
        [_encode_urgency(urgency, requests) for urgency, requests in demand.urgencies.items()],
    )


def _encode_urgency(urgency: int, requests: UrgencyTraffic) -> UrgencyEntry:
    return UrgencyEntry(
        urgency,
        round(requests.arrivals * 10),
        round(requests.size / 100),
        round(requests.overdue * 10),
        round(requests.waiting * 10),
        round(requests.placed * 10),
    )


def _encode_traffic(route: int, traffic: RouteTraffic) -> RouteEntry:
    return RouteEntry(
        route,
        round(traffic.prompts),
        round(traffic.whole_prefill_s * 1_000),
        round(traffic.prefill_s * 1_000),
        round(traffic.prefill_squares_s2 * 1_000),
        round(traffic.streams),
        round(traffic.stream_s * 1_000),
    )


def _decode_traffic(entry: RouteEntry) -> RouteTraffic:
    return RouteTraffic(
        prompts=entry.prompts,
        whole_prefill_s=entry.whole_prefill_ms / 1_000,
        prefill_s=entry.prefill_ms / 1_000,
        prefill_squares_s2=entry.prefill_squares_ms_s / 1_000,
        streams=entry.streams,
        stream_s=entry.stream_ms / 1_000,
    )


def _decode_demand(entry: DemandEntry) -> Demand:
    return Demand(
        sensitive=entry.sensitive_ms / 1_000,
        tolerant=entry.tolerant_ms / 1_000,
        routes={each.route: _decode_traffic(each) for each in entry.routes},
        prefill=PrefillSamples(
            **{
                each.name: float(value)
                for each, value in zip(fields(PrefillSamples), entry.prefill, strict=False)
            }
        ),
        urgencies={
            each.urgency: UrgencyTraffic(
                arrivals=each.arrivals / 10,
                size=each.size * 100.0,
                overdue=each.overdue / 10,
                waiting=each.waiting / 10,
                placed=each.placed / 10,
            )
            for each in entry.urgencies
        },
    )


def _decode_load(entry: LoadEntry) -> UpstreamLoad:
    requests = entry.sensitive + entry.tolerant
    return UpstreamLoad(
        prefill_s=entry.prefill_ms / 1_000,
        sensitive_requests=entry.sensitive,
        tolerant_requests=entry.tolerant,
        tokens=entry.kilotokens * 1_000,
        gap_s=entry.gap_weight_ms / requests / 1_000 if requests else 0.0,
        stalled=entry.stalled > 0,
        tolerant_prefill_s=entry.tolerant_prefill_cs / 100,
    )
