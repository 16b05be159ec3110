"""A search records one span for each hop, in one trace."""

from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from ibismount import _tracing
from ibismount._tracing import hop_span
from ibismount.entry import SearchRequest
from tests.data_fakes import Cluster, in_cluster


def test_each_hop_has_a_span_under_the_one_before(monkeypatch):
    """Guards against a hop that starts a trace of its own."""
    exporter = InMemorySpanExporter()
    provider = TracerProvider()
    provider.add_span_processor(SimpleSpanProcessor(exporter))
    monkeypatch.setattr(_tracing, '_TRACER', provider.get_tracer('test'))

    async def scenario(cluster):
        with hop_span('caller', '') as hop:
            request = SearchRequest(
                'ann',
                'find',
                {'text': 'x'},
                'r1',
                trace_parent=hop.trace_parent,
            )
            return await cluster.entry.search(request)

    answer = in_cluster(Cluster(shards=2), scenario)
    spans = {
        span.context.span_id: span for span in exporter.get_finished_spans()
    }
    links = {
        (spans[span.parent.span_id].name if span.parent else '', span.name)
        for span in spans.values()
    }
    assert links == {
        ('', 'caller'),
        ('caller', 'entry'),
        ('entry', 'gateway'),
        ('gateway', 'backend'),
    }
    assert {span.context.trace_id for span in spans.values()} == {
        int(answer.trace_id, 16)
    }
