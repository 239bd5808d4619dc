/**
 * Traces: one span per hop of a request. Without an exporter address the
 * tracer is OpenTelemetry's own no-op, which costs nothing.
 */
import {context, SpanStatusCode, trace} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';

import type {Attributes, Context, Span, Tracer} from '@opentelemetry/api';
import type {BasicTracerProvider} from '@opentelemetry/sdk-trace-base';

const PROPAGATOR = new W3CTraceContextPropagator();

/** Where spans go, and who sends them. @public */
export interface TracingOptions {
  /** OTLP/HTTP address; no spans are made when it is missing. */
  readonly otlpUrl: string | undefined;
  readonly instance: string;
}

/** Headers that carry a trace context in or out. @public */
export type TraceHeaders = Record<string, string | string[] | undefined>;

/** Makes the spans of this process. @public */
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

  /** The first span of a request, below the caller's own if it sent one. */
  startRequestTrace(name: string, headers: TraceHeaders): RequestTrace {
    const parent = PROPAGATOR.extract(context.active(), headers, {
      get: (carrier, key) => carrier[key],
      keys: carrier => Object.keys(carrier),
    });
    const span = this.tracer.startSpan(name, {}, parent);
    return RequestTrace.create(this.tracer, trace.setSpan(parent, span), span);
  }

  /** Sends what is left. */
  async shutdown(): Promise<void> {
    await this.provider?.shutdown();
  }
}

/** The spans of one request. @public */
export class RequestTrace {
  private currentSpan: Span | undefined;

  private constructor(
    private readonly tracer: Tracer,
    private readonly parent: Context,
    private readonly requestSpan: Span
  ) {}

  static create(
    tracer: Tracer,
    parent: Context,
    requestSpan: Span
  ): RequestTrace {
    return new RequestTrace(tracer, parent, requestSpan);
  }

  /** Ends the hop before, if any, and starts the next. */
  startSpan(name: string, attributes: Attributes = {}): void {
    this.currentSpan?.end();
    this.currentSpan = this.tracer.startSpan(name, {attributes}, this.parent);
  }

  /** Adds the current trace context to the headers of a request. */
  inject(headers: TraceHeaders): void {
    const span = this.currentSpan ?? this.requestSpan;
    PROPAGATOR.inject(trace.setSpan(this.parent, span), headers, {
      set: (carrier, key, value) => {
        carrier[key] = value;
      },
    });
  }

  /** Ends the request's spans; an error kind marks it as failed. */
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
