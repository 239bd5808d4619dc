import {sha256Hex} from '@applebend/utils';
import {tokenAt} from '@applebend/standins';
import {readStream} from './caller_client.js';
import {requestOf} from './load/load_runner.js';

import type {CallerResponse} from './caller_client.js';
import type {CallResult} from './load/load_runner.js';

/**
 * A broken promise of the fleet:
 * - `whole`: an incomplete response was presented as complete
 * - `own`: a response contains text that belongs to another request
 * - `not_run`: a request reported as not run did run
 * - `at_most_once`: a non-idempotent request ran more than once
 * - `at_once`: a refusal that can be retried has no Retry-After
 */
export interface Violation {
  readonly promise: 'whole' | 'own' | 'not_run' | 'at_most_once' | 'at_once';
  /** Id of the call. */
  readonly call: string;
  readonly detail: string;
}

/** A call, with what the checks need to know about it. */
export interface CheckedCall {
  readonly id: string;
  readonly body: string;
  /** Expected output tokens of a streamed model call; 0 for plain calls. */
  readonly outputTokens: number;
  readonly response: CallerResponse;
}

interface ErrorBody {
  readonly error?: {readonly type?: string; readonly ran?: string};
}

const OK_STATUS = 200;

/** Returns the text that an engine produces for a request body. */
export function expectedText(body: string, tokens: number): string {
  const seed = sha256Hex(body);
  return Array.from({length: tokens}, (_, i) => tokenAt(seed, i)).join('');
}

/**
 * Returns the type and `ran` of an error in a JSON body or an error event, or
 * undefined if the response has none.
 */
export function refusalOf(
  response: CallerResponse
): {type: string; ran: string} | undefined {
  const event = response.body.split('event: error\ndata: ')[1];
  const text = event ?? response.body;
  if (response.status === OK_STATUS && event === undefined) return undefined;
  try {
    const {error} = JSON.parse(text) as ErrorBody;
    return {type: error?.type ?? '', ran: error?.ran ?? ''};
  } catch {
    return undefined;
  }
}

/** Checks the response to one call, given how often targets ran the call. */
export function checkCall(call: CheckedCall, runs: number): Violation[] {
  const violations: Violation[] = [];
  const add = (promise: Violation['promise'], detail: string) =>
    violations.push({promise, call: call.id, detail});
  const {response} = call;
  if (response.status === OK_STATUS && call.outputTokens > 0) {
    checkStream(call, add);
  }
  const refusal = refusalOf(response);
  if (refusal?.ran === 'not_run' && runs > 0) {
    add(
      'not_run',
      `${refusal.type} reported not_run, but it ran ${runs} times`
    );
  }
  const retryable = [429, 503].includes(response.status);
  if (retryable && response.headers['retry-after'] === undefined) {
    add('at_once', `${response.status} without Retry-After`);
  }
  return violations;
}

function checkStream(
  call: CheckedCall,
  add: (promise: Violation['promise'], detail: string) => void
): void {
  const {response, outputTokens, body} = call;
  const stream = readStream(response.body);
  if (!stream.done) {
    if (response.complete)
      add('whole', 'an incomplete response was closed as complete');
    const expected = expectedText(body, outputTokens);
    if (!expected.startsWith(stream.text))
      add('own', 'tokens of another request');
    return;
  }
  if (stream.tokens !== outputTokens) {
    add('whole', `${stream.tokens} of ${outputTokens} tokens`);
  } else if (stream.text !== expectedText(body, outputTokens)) {
    add('own', 'the text differs from what the engine produced');
  }
}

/**
 * Checks the responses of a load; `runsOf` returns how often targets ran the
 * call with an id.
 */
export function checkResults(
  results: readonly CallResult[],
  runsOf: (key: string) => number
): Violation[] {
  const violations: Violation[] = [];
  const groups = new Map<string, CallResult[]>();
  for (const result of results) {
    const group = groups.get(result.call.id) ?? [];
    group.push(result);
    groups.set(result.call.id, group);
  }
  for (const group of groups.values()) {
    violations.push(...checkRepeats(group, runsOf));
  }
  return violations;
}

/**
 * Checks the responses to one call and its repeats with the same key. One of
 * them may run though others report `not_run`, so runs contradict `not_run`
 * only if all of them report it.
 */
function checkRepeats(
  group: readonly CallResult[],
  runsOf: (key: string) => number
): Violation[] {
  const violations: Violation[] = [];
  const all = group.map(({response}) => refusalOf(response)?.ran);
  const noneRan = all.every(ran => ran === 'not_run');
  for (const {call, response} of group) {
    const {id, kind, outputTokens} = call;
    const streamed = kind === 'layout' || kind === 'check';
    const checked = {
      id,
      body: requestOf(call, '').body,
      outputTokens: streamed ? outputTokens : 0,
      response,
    };
    const runs = runsOf(id);
    violations.push(...checkCall(checked, noneRan ? runs : 0));
    if (kind === 'booking' && runs > 1) {
      const detail = `ran ${runs} times`;
      violations.push({promise: 'at_most_once', call: id, detail});
    }
  }
  return violations;
}
