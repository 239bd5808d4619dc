import {tokenAt} from './engine_batch.js';

import type {ServerResponse} from 'node:http';
import type {Job} from './engine_batch.js';

/** One run of a request. @public */
export interface EngineRecord {
  /** The `user` field of the request. */
  readonly tag: string;
  /** The text produced so far. */
  readonly answer: string;
  /** Whether all tokens were produced. */
  readonly ended: boolean;
}

/** A completion in progress, or one that can still be resumed. @public */
export interface Generation {
  readonly job: Job;
  readonly tag: string;
  readonly id: string;
  /** The open stream, or undefined if no caller is connected. */
  res: ServerResponse | undefined;
  done: boolean;
  cancelled: boolean;
}

/** The text that was produced so far. @public */
export function textOf({job: {seed, produced}}: Generation): string {
  return Array.from({length: produced}, (_, i) => tokenAt(seed, i)).join('');
}

/** @public */
export function recordOf(generation: Generation, ended: boolean): EngineRecord {
  return {tag: generation.tag, answer: textOf(generation), ended};
}

/** The numbers of tokens, as responses report them. @public */
export function usageOf({job: {inputTokens, outputTokens}}: Generation) {
  return {prompt_tokens: inputTokens, completion_tokens: outputTokens};
}

/** Writes the event of one token to a stream. @public */
export function writeToken(
  id: string,
  res: ServerResponse,
  content: string
): void {
  const chunk = {id, choices: [{index: 0, delta: {content}}]};
  res.write(`data: ${JSON.stringify(chunk)}\n\n`);
}

/** Writes the last events of a complete stream, if a caller is connected. @public */
export function writeEnd(generation: Generation): void {
  const {id, res} = generation;
  if (res === undefined) return;
  const usage = usageOf(generation);
  res.write(`data: ${JSON.stringify({id, choices: [], usage})}\n\n`);
  res.end('data: [DONE]\n\n');
}
