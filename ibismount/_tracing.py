"""Open spans and propagate the W3C trace context between hops."""

import contextlib
from collections.abc import Iterator
from typing import NamedTuple

from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

__all__ = ('Hop', 'hop_span')

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()
_TRACER = trace.get_tracer('ibismount')


class Hop(NamedTuple):
    """A span and the ``traceparent`` to send to the next hop."""

    span: trace.Span
    trace_parent: str
    trace_id: str


@contextlib.contextmanager
def hop_span(name: str, trace_parent: str, **attributes) -> Iterator[Hop]:
    """Open a span as a child of the previous hop's trace context.

    Without a tracer provider the given context is forwarded unchanged.
    """
    parent = _PROPAGATOR.extract({'traceparent': trace_parent})
    span = _TRACER.start_span(name, parent, attributes=attributes)
    carrier: dict[str, str] = {}
    context = trace.set_span_in_context(span)
    _PROPAGATOR.inject(carrier, context)
    trace_id = span.get_span_context().trace_id
    try:
        yield Hop(
            span,
            carrier.get('traceparent', trace_parent),
            trace.format_trace_id(trace_id),
        )
    finally:
        span.end()
