/** A caller of the rig: sends one request and keeps what it saw. */
import http from 'node:http';
import {errorMessage} from '@applebend/utils';

/** One request of a caller. */
export interface CallerRequest {
  readonly url: string;
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Gives up, closing the connection, after this time. */
  readonly timeoutMs: number;
  /** Called for each part of the body. */
  readonly onChunk?: (chunk: Buffer) => void;
}

/** What a caller saw of its answer. */
export interface CallerResponse {
  /** 0 when no answer came. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the connection ended as a complete answer does. */
  readonly complete: boolean;
  readonly failure: string;
  readonly sentAtMs: number;
  /** When the first byte of the body came. */
  readonly firstByteAtMs: number | undefined;
  readonly endedAtMs: number;
  /** When each chunk of the body came. */
  readonly chunkTimesMs: readonly number[];
}

const agent = new http.Agent({keepAlive: true, maxSockets: 4000});

/** Sends a request and waits for the end of its answer. */
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

/** One model call. */
export interface ModelCall {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly tag: string;
  readonly stream: boolean;
}

/** The request body of a model call. */
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

/** What a streamed body says: its text, and whether it names its own end. */
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
