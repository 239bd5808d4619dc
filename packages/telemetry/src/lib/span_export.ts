import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
} from '@opentelemetry/sdk-trace-base';

/**
 * Creates a tracer provider that exports spans by OTLP/HTTP. Import this file
 * dynamically: its dependencies are needed only if an OTLP URL is set.
 *
 * @public
 */
export function createExportingProvider(
  otlpUrl: string,
  instance: string
): BasicTracerProvider {
  const exporter = new OTLPTraceExporter({url: otlpUrl});
  return new BasicTracerProvider({
    resource: resourceFromAttributes({
      'service.name': 'applebendd',
      'service.instance.id': instance,
    }),
    spanProcessors: [new BatchSpanProcessor(exporter)],
  });
}
