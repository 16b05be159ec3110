"""Set up the OpenTelemetry providers for spans and metrics."""

from opentelemetry import metrics, trace
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    ConsoleMetricExporter,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
)

__all__ = ('configure_telemetry',)


def configure_telemetry(exporter: str, *, node_id: str) -> None:
    """Install the global tracer and meter providers.

    Args:
        exporter: ``none`` only creates trace ids; ``console`` prints spans
            and metrics to standard output.
        node_id: Service instance id of all spans and metrics.
    """
    resource = Resource.create(
        {'service.name': 'ibismount', 'service.instance.id': node_id}
    )
    tracer_provider = TracerProvider(resource=resource)
    readers = []
    if exporter == 'console':
        tracer_provider.add_span_processor(
            BatchSpanProcessor(ConsoleSpanExporter())
        )
        readers.append(PeriodicExportingMetricReader(ConsoleMetricExporter()))
    trace.set_tracer_provider(tracer_provider)
    metrics.set_meter_provider(
        MeterProvider(resource=resource, metric_readers=readers)
    )
