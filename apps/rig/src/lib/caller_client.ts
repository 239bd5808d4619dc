import http from 'node:http';
import {errorMessage} from '@applebend/utils';

/** A request that a caller sends. */
export interface CallerRequest {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Closes the connection if the response is not complete by then. */
  readonly timeoutMs: number;
  /** Called for each chunk of the body. */
  readonly onChunk?: (chunk: Buffer) => void;
}

/** A response as the caller received it; times are from `performance.now()`. */
export interface CallerResponse {
  /** HTTP status, or 0 if no response arrived. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether HTTP framing marked the body as complete. */
  readonly complete: boolean;
  /** Why the response is missing or was broken off; empty otherwise. */
  readonly failure: string;
  readonly sentAtMs: number;
  /** Arrival of the first chunk of the body. */
  readonly firstByteAtMs: number | undefined;
  readonly endedAtMs: number;
  /** Arrival of each chunk of the body. */
  readonly chunkTimesMs: readonly number[];
}

const agent = new http.Agent({keepAlive: true, maxSockets: 4000});

/** Sends a request and waits for the end of the response; never rejects. */
export function call(request: CallerRequest): Promise<CallerResponse> {
  return new Promise(resolve => {
    const sentAtMs = performance.now();
    const chunks: Buffer[] = [];
    const chunkTimesMs: number[] = [];
    let res: http.IncomingMessage | undefined;
    let settled = false;
    const settle = (complete: boolean, failure: string) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve({
        status: res?.statusCode ?? 0,
        headers: res?.headers ?? {},
        body: Buffer.concat(chunks).toString('utf8'),
        complete,
        failure,
        sentAtMs,
        firstByteAtMs: chunkTimesMs[0],
        endedAtMs: performance.now(),
        chunkTimesMs,
      });
    };
    const {method, headers} = request;
    const req = http.request(request.url, {method, headers, agent});
    const timer = setTimeout(() => {
      settle(false, 'timeout');
      req.destroy();
    }, request.timeoutMs);
    req.on('error', err => settle(false, errorMessage(err)));
    req.on('response', response => {
      res = response;
      response.on('data', (chunk: Buffer) => {
        chunks.push(chunk);
        request.onChunk?.(chunk);
        chunkTimesMs.push(performance.now());
      });
      response.on('end', () => settle(response.complete, ''));
      response.on('error', err => settle(false, errorMessage(err)));
      response.on('close', () => settle(false, 'closed'));
    });
    req.end(request.body);
  });
}

/** A chat completion request. */
export interface ModelCall {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Sent as `user`; engines report their runs under it. */
  readonly tag: string;
  readonly stream: boolean;
}

/** Returns the request body of a model call. */
export function modelBody(options: ModelCall): string {
  return JSON.stringify({
    model: options.model,
    messages: [{role: 'user', content: options.prompt}],
    max_tokens: options.maxTokens,
    stream: options.stream,
    user: options.tag,
  });
}

interface Event {
  readonly choices?: readonly {readonly delta?: {readonly content?: string}}[];
}

/**
 * Parses a streamed body. `done` tells whether it has the final `[DONE]`
 * event, `error` whether it has an error event.
 */
export function readStream(body: string): {
  text: string;
  tokens: number;
  done: boolean;
  error: boolean;
} {
  let text = '';
  let tokens = 0;
  let done = false;
  let error = false;
  for (const event of body.split('\n\n')) {
    if (event.startsWith('event: error')) error = true;
    else if (event === 'data: [DONE]') done = true;
    else if (event.startsWith('data: ')) {
      const data = JSON.parse(event.slice('data: '.length)) as Event;
      const content = data.choices?.[0]?.delta?.content;
      if (content === undefined) continue;
      text += content;
      tokens += 1;
    }
  }
  return {text, tokens, done, error};
}
