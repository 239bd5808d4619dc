import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

/** In seconds; 0.89 is the default target for the first token. */
const SECONDS_BUCKETS = [
  0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.89, 1.5, 3, 6, 15, 60,
];
/** In seconds; 0.046 is the default target for the time between tokens. */
const BETWEEN_TOKENS_BUCKETS = [0.005, 0.01, 0.02, 0.03, 0.046, 0.06, 0.1, 0.3];

/**
 * The Prometheus metrics of a daemon, each with its help text. Totals that the
 * daemon keeps elsewhere are gauges, set from there.
 *
 * @public
 */
export class Metrics {
  readonly registry = new Registry();
  readonly requests = this.counter(
    'applebend_requests_total',
    'Requests that ended, by how they ended',
    ['service', 'end']
  );
  readonly refusals = this.counter(
    'applebend_refusals_total',
    'Refusals, by reason and whether the request ran',
    ['kind', 'ran']
  );
  readonly retries = this.counter(
    'applebend_retries_total',
    'Requests that were sent to a further target',
    ['reason']
  );
  readonly staleGrants = this.gauge(
    'applebend_stale_grants',
    'Late, crossed and lapsed grants that were dropped or sent back',
    ['service']
  );
  readonly queueSeconds = this.histogram(
    'applebend_queue_seconds',
    'Time from arrival to grant',
    SECONDS_BUCKETS
  );
  readonly firstTokenSeconds = this.histogram(
    'applebend_first_token_seconds',
    'Time from sending a model call to its first token',
    SECONDS_BUCKETS
  );
  readonly betweenTokensSeconds = this.histogram(
    'applebend_between_tokens_seconds',
    'Time between tokens at p95 of each answer',
    BETWEEN_TOKENS_BUCKETS
  );
  readonly linkBytes = this.gauge(
    'applebend_link_bytes',
    'Bytes over the links between instances',
    ['direction']
  );
  readonly linkCloses = this.counter(
    'applebend_link_closes_total',
    'Links that closed, by reason',
    ['reason']
  );
  readonly aliveMembers = this.gauge(
    'applebend_members_alive',
    'Other instances whose heartbeats arrive',
    []
  );
  readonly configRevision = this.gauge(
    'applebend_config_revision',
    'Revision of the configuration in force',
    []
  );
  readonly dispatcherStats = this.gauge(
    'applebend_dispatcher',
    'Figures of the cells that this instance dispatches',
    ['service', 'figure']
  );
  readonly fairnessViolations = this.gauge(
    'applebend_fairness_violations',
    'Times that the fairness gap passed its bound',
    ['service']
  );
  readonly claims = this.counter(
    'applebend_claims_total',
    'Claims of non-idempotent requests, by verdict',
    ['verdict']
  );
  readonly invalidTransitions = this.counter(
    'applebend_invalid_transitions_total',
    'Events that a request did not allow; each is a fault of the program',
    []
  );
  readonly mismatchedResponses = this.counter(
    'applebend_mismatched_answers_total',
    'Answers that belonged to another request and were dropped',
    []
  );

  private constructor() {}

  static create(): Metrics {
    const metrics = new Metrics();
    collectDefaultMetrics({register: metrics.registry});
    return metrics;
  }

  private counter<L extends string>(name: string, help: string, labels: L[]) {
    const registers = [this.registry];
    return new Counter({name, help, labelNames: labels, registers});
  }

  private gauge<L extends string>(name: string, help: string, labels: L[]) {
    const registers = [this.registry];
    return new Gauge({name, help, labelNames: labels, registers});
  }

  private histogram(name: string, help: string, buckets: number[]) {
    return new Histogram({name, help, buckets, registers: [this.registry]});
  }
}
