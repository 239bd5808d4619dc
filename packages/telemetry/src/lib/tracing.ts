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
    const {exportingProvider} = await import('./span_export.js');
    const provider = exportingProvider(otlpUrl, instance);
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
  private hop: Span | undefined;

  private constructor(
    private readonly tracer: Tracer,
    private readonly parent: Context,
    private readonly entry: Span
  ) {}

  static create(tracer: Tracer, parent: Context, entry: Span): RequestTrace {
    return new RequestTrace(tracer, parent, entry);
  }

  /** Ends the hop before, if any, and starts the next. */
  startSpan(name: string, attributes: Attributes = {}): void {
    this.hop?.end();
    this.hop = this.tracer.startSpan(name, {attributes}, this.parent);
  }

  /** Adds the current trace context to the headers of a request. */
  inject(headers: TraceHeaders): void {
    const span = this.hop ?? this.entry;
    PROPAGATOR.inject(trace.setSpan(this.parent, span), headers, {
      set: (carrier, key, value) => {
        carrier[key] = value;
      },
    });
  }

  /** Ends the request's spans; an error kind marks it as failed. */
  end(errorKind?: string): void {
    this.hop?.end();
    if (errorKind !== undefined) {
      this.entry.setStatus({code: SpanStatusCode.ERROR, message: errorKind});
    }
    this.entry.end();
  }
}
