/** Sends spans by OTLP/HTTP; loaded only where an address is set. */
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
} from '@opentelemetry/sdk-trace-base';

/** A provider whose spans go to the address. @public */
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
