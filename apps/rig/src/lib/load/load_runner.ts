import {sleep} from '@applebend/utils';
import {call, modelBody} from '../caller_client.js';
import {keyOf} from '../sample_config.js';
import {
  INPUT_TOKEN_COST,
  MODEL_SERVICE,
  OUTPUT_TOKEN_COST,
  PLAIN_SERVICE,
} from './site.js';

import type {CallerResponse, CallerRequest} from '../caller_client.js';
import type {Fleet} from '../fleet.js';
import type {PlannedCall} from './schedule.js';

/** A call and its response. */
export interface CallResult {
  readonly call: PlannedCall;
  readonly response: CallerResponse;
  /** Index of the router that it was sent to. */
  readonly router: number;
}

/** Current counters of a customer. */
export interface CustomerCounters {
  /**
   * Weighted tokens received. Output tokens count as they arrive, input tokens
   * when the response has ended with status 200.
   */
  service: number;
  /** Model calls that were sent and have not started at a target. */
  waiting: number;
}

const BYTES_PER_TOKEN = 4;
/** Occurs once in the event of each output token. */
const TOKEN_EVENT_MARKER = '"delta"';

/** Sends planned calls and counts the service that customers receive. */
export class LoadRunner {
  readonly results: CallResult[] = [];
  readonly counters = new Map<string, CustomerCounters>();
  openCalls = 0;
  /** Whether each booking is sent twice, through two routers. */
  repeatBookings = false;
  /** By id of a call that has not started: the function that marks it started. */
  private readonly waiting = new Map<string, () => void>();

  private constructor(
    private readonly fleet: Fleet,
    private readonly timeoutMs: number
  ) {}

  static create(fleet: Fleet, timeoutMs: number): LoadRunner {
    const runner = new LoadRunner(fleet, timeoutMs);
    fleet.onRun = key => runner.waiting.get(key)?.();
    return runner;
  }

  /** Sends all calls at their times; resolves when the last one is sent. */
  async send(calls: readonly PlannedCall[]): Promise<void> {
    const startMs = performance.now();
    for (const planned of calls) {
      const waitMs = startMs + planned.atMs - performance.now();
      if (waitMs > 1) await sleep(waitMs);
      void this.sendOne(planned, planned.router);
      if (this.repeatBookings && planned.kind === 'booking') {
        void this.sendOne(planned, planned.router + 1);
      }
    }
  }

  /** Waits until all calls have ended. */
  async finish(): Promise<void> {
    while (this.openCalls > 0) await sleep(50);
  }

  countersOf(customer: string): CustomerCounters {
    let counters = this.counters.get(customer);
    if (counters === undefined) {
      counters = {service: 0, waiting: 0};
      this.counters.set(customer, counters);
    }
    return counters;
  }

  private async sendOne(
    planned: PlannedCall,
    preferred: number
  ): Promise<void> {
    this.openCalls += 1;
    const router = this.pickRouter(preferred);
    const counters = this.countersOf(planned.customer.name);
    const modelCall = planned.kind === 'layout' || planned.kind === 'check';
    const stopWaiting = () => {
      if (this.waiting.delete(planned.id)) counters.waiting -= 1;
    };
    if (modelCall) {
      this.waiting.set(planned.id, stopWaiting);
      counters.waiting += 1;
    }
    const response = await call({
      ...requestOf(planned, this.fleet.router(router).url),
      timeoutMs: this.timeoutMs,
      onChunk: chunk => {
        if (modelCall) counters.service += serviceIn(chunk);
      },
    });
    stopWaiting();
    if (modelCall && response.status === 200) {
      counters.service += planned.inputTokens * INPUT_TOKEN_COST;
    }
    this.results.push({call: planned, response, router});
    this.openCalls -= 1;
  }

  /**
   * Returns the first router from `preferred` on that accepts callers, as the
   * platform's load balancer does.
   */
  private pickRouter(preferred: number): number {
    const {routers} = this.fleet;
    for (let i = 0; i < routers.length; i++) {
      const index = (preferred + i) % routers.length;
      if (this.fleet.accepting(index)) return index;
    }
    return preferred;
  }
}

/** Returns the request of a planned call. */
export function requestOf(
  planned: PlannedCall,
  url: string
): Omit<CallerRequest, 'timeoutMs'> {
  const authorization = `Bearer ${keyOf(planned.customer.name)}`;
  if (planned.kind === 'lookup' || planned.kind === 'booking') {
    const booking = planned.kind === 'booking';
    return {
      url: `${url}/${PLAIN_SERVICE}/${booking ? 'book' : 'stock'}`,
      method: booking ? 'POST' : 'GET',
      headers: {
        authorization,
        'x-tag': planned.id,
        ...(booking ? {'idempotency-key': planned.id} : {}),
      },
      body: booking ? JSON.stringify({id: planned.id}) : '',
    };
  }
  return {
    url: `${url}/v1/chat/completions`,
    method: 'POST',
    headers: {authorization, 'x-request-class': planned.kind},
    body: modelBody({
      model: MODEL_SERVICE,
      prompt: promptOf(planned),
      maxTokens: planned.maxTokens,
      tag: planned.id,
      stream: true,
    }),
  };
}

/**
 * Returns a prompt of the planned size, with the output length for the
 * stand-in engine; the fleet does not interpret it.
 */
function promptOf(planned: PlannedCall): string {
  const head = `${planned.customer.name} plate plan out=${planned.outputTokens} `;
  return head.padEnd(planned.inputTokens * BYTES_PER_TOKEN, 'steel ');
}

/**
 * Returns the weighted output tokens in a chunk of a stream. A marker that is
 * split between two chunks is not counted.
 */
function serviceIn(chunk: Buffer): number {
  let tokens = 0;
  const text = chunk.toString('latin1');
  for (
    let position = text.indexOf(TOKEN_EVENT_MARKER);
    position >= 0;
    position = text.indexOf(TOKEN_EVENT_MARKER, position + 1)
  ) {
    tokens += 1;
  }
  return tokens * OUTPUT_TOKEN_COST;
}
