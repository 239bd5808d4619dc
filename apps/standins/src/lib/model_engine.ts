import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {sha256Hex} from '@applebend/utils';
import {EngineBatch, tokenAt} from './engine_batch.js';
import {recordOf, textOf, usageOf, writeEnd, writeToken} from './generation.js';
import {LaggingLoad} from './lagging_load.js';
import {PromptCache} from './prompt_cache.js';
import {StandIn} from './stand_in.js';

import type {ServerResponse} from 'node:http';
import type {EngineSpeed, Job} from './engine_batch.js';
import type {EngineRecord, Generation} from './generation.js';
import type {
  StandInResponse,
  ServerOptions,
  StandInRequest,
} from './stand_in_server.js';

/** Address, speed and callbacks of a model engine. @public */
export interface ModelEngineOptions extends ServerOptions {
  readonly speed: EngineSpeed;
  /** Age of the load that `/load` reports. */
  readonly reportLagMs: number;
  /** How long a broken stream can be resumed; 0 if it cannot. */
  readonly resumeGraceMs: number;
  /** Called when a run starts, with the `user` field of the request. */
  readonly onRun: (tag: string) => void;
  /** Called when a prompt contains the crash marker. */
  readonly onCrash: () => void;
}

/** A prompt that contains this text crashes the engine. @public */
export const CRASH_MARKER = 'please-crash';

const BYTES_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 64;

const callSchema = z.looseObject({
  messages: z.array(z.looseObject({content: z.string()})).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().default(1024),
  user: z.string().default(''),
});

/**
 * A stand-in for a model engine with the OpenAI chat format. The output
 * length in tokens is taken from `out=N` in the prompt, up to `max_tokens`.
 * Streams can be resumed at `/v1/streams/ID?after=TOKENS` and cancelled with
 * DELETE on the same path.
 * @public
 */
export class ModelEngine extends StandIn {
  private readonly batch: EngineBatch;
  private readonly generations = new Map<string, Generation>();
  private readonly endedRecords: EngineRecord[] = [];
  private readonly promptCache = PromptCache.create();
  private readonly reportedLoad: LaggingLoad;

  private constructor(private readonly options: ModelEngineOptions) {
    super();
    this.batch = EngineBatch.create(options.speed);
    this.reportedLoad = LaggingLoad.create(options.reportLagMs);
  }

  static create(options: ModelEngineOptions): Promise<ModelEngine> {
    return new ModelEngine(options).listen(options);
  }

  get running(): number {
    return this.batch.runningCount;
  }

  get waiting(): number {
    return this.batch.waitingCount;
  }

  /**
   * All runs so far: complete, cancelled and in progress. A complete run that
   * can still be resumed is listed twice, once with `ended` false.
   */
  get records(): EngineRecord[] {
    const open = [...this.generations.values()].map(a => recordOf(a, false));
    return [...this.endedRecords, ...open];
  }

  async close(): Promise<void> {
    this.batch.stop();
    await this.server.close();
  }

  protected async handle(
    request: StandInRequest
  ): Promise<StandInResponse | undefined> {
    const {pathname, searchParams} = request.url;
    if (pathname === '/v1/chat/completions') return this.chat(request);
    if (pathname === '/load') {
      const load = this.reportedLoad.report(this, Date.now());
      return {status: 200, body: load};
    }
    if (pathname === '/now') {
      const {running, waiting} = this;
      return {status: 200, body: {running, waiting}};
    }
    if (pathname === '/records') return {status: 200, body: this.records};
    if (!pathname.startsWith('/v1/streams/')) return {status: 404, body: {}};
    const generation = this.generations.get(
      pathname.slice('/v1/streams/'.length)
    );
    if (generation === undefined) return {status: 404, body: {}};
    if (request.method === 'DELETE') {
      this.cancel(generation);
      return {status: 200, body: {}};
    }
    return this.resume(generation, request, Number(searchParams.get('after')));
  }

  private async chat(
    request: StandInRequest
  ): Promise<StandInResponse | undefined> {
    const parsed = callSchema.safeParse(JSON.parse(request.body));
    if (!parsed.success)
      return {status: 400, body: {error: 'invalid chat completion request'}};
    const call = parsed.data;
    const prompt = call.messages.map(m => m.content).join('\n');
    this.options.onRun(call.user);
    const generation = this.admit(request.body, prompt, call);
    const {faults} = this.server;
    const responseId = faults.crossAnswers
      ? randomUUID()
      : (request.headers['x-request-id'] ?? '');
    const headers = {'x-request-id': String(responseId)};
    if (prompt.includes(CRASH_MARKER)) setTimeout(this.options.onCrash, 20);
    if (!call.stream) return this.respondWhenDone(generation, request, headers);
    request.res.writeHead(200, {
      'content-type': 'text/event-stream',
      ...headers,
    });
    request.res.flushHeaders();
    this.attach(generation, request.res);
    return undefined;
  }

  private admit(
    body: string,
    prompt: string,
    call: z.infer<typeof callSchema>
  ): Generation {
    const requestedOutput = /out=(\d+)/.exec(prompt)?.[1];
    const inputTokens = Math.ceil(prompt.length / BYTES_PER_TOKEN);
    const id = randomUUID();
    const requestedTokens =
      requestedOutput === undefined
        ? DEFAULT_OUTPUT_TOKENS
        : Number(requestedOutput);
    const job: Job = {
      id,
      seed: sha256Hex(body),
      inputTokens,
      outputTokens: Math.min(call.max_tokens, requestedTokens),
      prefillLeftMs: this.prefillMs(prompt, inputTokens),
      produced: 0,
      onToken: token => this.onToken(generation, token),
      onDone: () => this.onDone(generation),
    };
    const generation: Generation = {
      job,
      tag: call.user,
      id,
      res: undefined,
      done: false,
      cancelled: false,
    };
    this.generations.set(id, generation);
    this.batch.add(job);
    return generation;
  }

  private prefillMs(prompt: string, inputTokens: number): number {
    const {prefillPerTokenMs} = this.options.speed;
    return inputTokens * this.promptCache.use(prompt) * prefillPerTokenMs;
  }

  /**
   * Returns the response of a call without streaming. Cancels the call if the
   * connection closes first.
   */
  private respondWhenDone(
    generation: Generation,
    request: StandInRequest,
    headers: Record<string, string>
  ): Promise<StandInResponse> {
    request.res.on('close', () => this.cancel(generation));
    return new Promise(resolve => {
      generation.job.onDone = () => {
        this.finish(generation);
        const message = {role: 'assistant', content: textOf(generation)};
        resolve({
          status: 200,
          headers,
          body: {
            id: generation.id,
            choices: [{index: 0, message, finish_reason: 'stop'}],
            usage: usageOf(generation),
          },
        });
      };
    });
  }

  /** Streams to `res`; if it closes, cancels after the resume grace. */
  private attach(generation: Generation, res: ServerResponse): void {
    generation.res = res;
    res.on('close', () => {
      if (generation.res !== res || generation.done) return;
      generation.res = undefined;
      const graceMs = this.options.resumeGraceMs;
      setTimeout(() => {
        if (generation.res === undefined) this.cancel(generation);
      }, graceMs).unref();
    });
  }

  private resume(
    generation: Generation,
    request: StandInRequest,
    after: number
  ): StandInResponse | undefined {
    if (this.options.resumeGraceMs === 0) return {status: 404, body: {}};
    request.res.writeHead(200, {'content-type': 'text/event-stream'});
    request.res.flushHeaders();
    for (let i = after; i < generation.job.produced; i++) {
      writeToken(generation.id, request.res, tokenAt(generation.job.seed, i));
    }
    this.attach(generation, request.res);
    if (generation.done) writeEnd(generation);
    return undefined;
  }

  private onToken(generation: Generation, token: string): void {
    if (generation.res === undefined || this.server.faults.stallStreams) return;
    if (this.server.faults.severStreams) {
      generation.res.destroy();
      return;
    }
    writeToken(generation.id, generation.res, token);
  }

  private onDone(generation: Generation): void {
    if (this.server.faults.stallStreams) return;
    this.finish(generation);
    writeEnd(generation);
  }

  private finish(generation: Generation): void {
    generation.done = true;
    this.endedRecords.push(recordOf(generation, true));
    const graceMs = this.options.resumeGraceMs;
    if (graceMs === 0) this.generations.delete(generation.id);
    else
      setTimeout(() => this.generations.delete(generation.id), graceMs).unref();
  }

  private cancel(generation: Generation): void {
    if (generation.done || generation.cancelled) return;
    generation.cancelled = true;
    this.batch.cancel(generation.job);
    this.generations.delete(generation.id);
    this.endedRecords.push(recordOf(generation, false));
  }
}
