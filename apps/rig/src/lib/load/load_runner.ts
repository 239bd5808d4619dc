/** Sends the planned calls and follows each customer's service as it comes. */
import {sleep} from '@applebend/utils';
import {call, modelBody} from '../caller_client.js';
import {keyOf} from '../sample_config.js';
import {
  INPUT_TOKEN_COST,
  MODEL_SERVICE,
  OUTPUT_TOKEN_COST,
  PLAIN_SERVICE,
} from './site.js';

import type {CallerAnswer, CallerRequest} from '../caller_client.js';
import type {Fleet} from '../fleet.js';
import type {PlannedCall} from './schedule.js';

/** A call with the answer it got. */
export interface CallResult {
  readonly call: PlannedCall;
  readonly answer: CallerAnswer;
  readonly router: number;
}

/** What one customer has received and waits for, at this moment. */
export interface CustomerTally {
  /** Weighted tokens received. */
  service: number;
  /** Model calls that were sent and that no target has started. */
  waiting: number;
}

const BYTES_PER_TOKEN = 4;
const EVENT_MARK = '"delta"';

export class LoadRunner {
  readonly results: CallResult[] = [];
  readonly tallies = new Map<string, CustomerTally>();
  open = 0;
  /** Whether each booking is sent twice, through two routers. */
  repeatBookings = false;
  /** Model calls that no target has started yet. */
  private readonly waiting = new Map<string, () => void>();

  private constructor(
    private readonly fleet: Fleet,
    private readonly patienceMs: number
  ) {}

  static create(fleet: Fleet, patienceMs: number): LoadRunner {
    const runner = new LoadRunner(fleet, patienceMs);
    fleet.onRun = key => runner.waiting.get(key)?.();
    return runner;
  }

  /** Sends all calls at their times; resolves when the last was sent. */
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

  /** Waits until every call has ended. */
  async finish(): Promise<void> {
    while (this.open > 0) await sleep(50);
  }

  tallyOf(customer: string): CustomerTally {
    let tally = this.tallies.get(customer);
    if (tally === undefined) {
      tally = {service: 0, waiting: 0};
      this.tallies.set(customer, tally);
    }
    return tally;
  }

  private async sendOne(planned: PlannedCall, wanted: number): Promise<void> {
    this.open += 1;
    const router = this.balance(wanted);
    const tally = this.tallyOf(planned.customer.name);
    const modelCall = planned.kind === 'layout' || planned.kind === 'check';
    const stopWaiting = () => {
      if (this.waiting.delete(planned.id)) tally.waiting -= 1;
    };
    if (modelCall) {
      this.waiting.set(planned.id, stopWaiting);
      tally.waiting += 1;
    }
    const answer = await call({
      ...requestOf(planned, this.fleet.router(router).url),
      patienceMs: this.patienceMs,
      onChunk: chunk => {
        if (modelCall) tally.service += serviceIn(chunk);
      },
    });
    stopWaiting();
    if (modelCall && answer.status === 200) {
      tally.service += planned.inputTokens * INPUT_TOKEN_COST;
    }
    this.results.push({call: planned, answer, router});
    this.open -= 1;
  }

  /** The platform's balancer: the next router that runs. */
  private balance(wanted: number): number {
    const {routers} = this.fleet;
    for (let i = 0; i < routers.length; i++) {
      const index = (wanted + i) % routers.length;
      if (this.fleet.accepting(index)) return index;
    }
    return wanted;
  }
}

/** The request that a planned call sends. */
export function requestOf(
  planned: PlannedCall,
  url: string
): Omit<CallerRequest, 'patienceMs'> {
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

/** A prompt of the planned size, with the length that only engines read. */
function promptOf(planned: PlannedCall): string {
  const head = `${planned.customer.name} plate plan out=${planned.outputTokens} `;
  return head.padEnd(planned.inputTokens * BYTES_PER_TOKEN, 'steel ');
}

function serviceIn(chunk: Buffer): number {
  let tokens = 0;
  const text = chunk.toString('latin1');
  for (
    let at = text.indexOf(EVENT_MARK);
    at >= 0;
    at = text.indexOf(EVENT_MARK, at + 1)
  ) {
    tokens += 1;
  }
  return tokens * OUTPUT_TOKEN_COST;
}
