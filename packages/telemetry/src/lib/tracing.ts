import {context, SpanStatusCode, trace} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';

import type {Attributes, Context, Span, Tracer} from '@opentelemetry/api';
import type {BasicTracerProvider} from '@opentelemetry/sdk-trace-base';

const PROPAGATOR = new W3CTraceContextPropagator();

/** The exporter and the instance whose spans it exports. @public */
export interface TracingOptions {
  /** The OTLP/HTTP URL; no spans are recorded if it is undefined. */
  readonly otlpUrl: string | undefined;
  readonly instance: string;
}

/** HTTP headers with the W3C trace context of a request. @public */
export type TraceHeaders = Record<string, string | string[] | undefined>;

/**
 * Creates the traces of requests, which continue those of their callers.
 * Without an OTLP URL it uses OpenTelemetry's no-op tracer, which costs nothing.
 *
 * @public
 */
export class Tracing {
  private constructor(
    private readonly tracer: Tracer,
    private readonly provider: BasicTracerProvider | undefined
  ) {}

  static async create(options: TracingOptions): Promise<Tracing> {
    const {otlpUrl, instance} = options;
    if (otlpUrl === undefined) {
      return new Tracing(trace.getTracer('applebend'), undefined);
    }
    const {createExportingProvider} = await import('./span_export.js');
    const provider = createExportingProvider(otlpUrl, instance);
    return new Tracing(provider.getTracer('applebend'), provider);
  }

  /** Starts the span of a request, as a child of the caller's span if any. */
  startRequestTrace(name: string, headers: TraceHeaders): RequestTrace {
    const parent = PROPAGATOR.extract(context.active(), headers, {
      get: (carrier, key) => carrier[key],
      keys: carrier => Object.keys(carrier),
    });
    const span = this.tracer.startSpan(name, {}, parent);
    return RequestTrace.create(this.tracer, trace.setSpan(parent, span), span);
  }

  /** Exports the remaining spans. */
  async shutdown(): Promise<void> {
    await this.provider?.shutdown();
  }
}

/** The span of a request, and below it one span per step. @public */
export class RequestTrace {
  private currentSpan: Span | undefined;

  private constructor(
    private readonly tracer: Tracer,
    /** The context of the request's span, the parent of the steps' spans. */
    private readonly requestContext: Context,
    private readonly requestSpan: Span
  ) {}

  static create(
    tracer: Tracer,
    parent: Context,
    requestSpan: Span
  ): RequestTrace {
    return new RequestTrace(tracer, parent, requestSpan);
  }

  /** Ends the span of the previous step, if any, and starts the next one. */
  startSpan(name: string, attributes: Attributes = {}): void {
    this.currentSpan?.end();
    this.currentSpan = this.tracer.startSpan(
      name,
      {attributes},
      this.requestContext
    );
  }

  /** Adds the current trace context to the headers of an outgoing request. */
  inject(headers: TraceHeaders): void {
    const span = this.currentSpan ?? this.requestSpan;
    PROPAGATOR.inject(trace.setSpan(this.requestContext, span), headers, {
      set: (carrier, key, value) => {
        carrier[key] = value;
      },
    });
  }

  /** Ends all spans; `errorKind` marks the request as failed. */
  end(errorKind?: string): void {
    this.currentSpan?.end();
    if (errorKind !== undefined) {
      this.requestSpan.setStatus({
        code: SpanStatusCode.ERROR,
        message: errorKind,
      });
    }
    this.requestSpan.end();
  }
}
