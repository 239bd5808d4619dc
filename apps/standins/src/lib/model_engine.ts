/** A stand-in for a model engine with the OpenAI chat format. */
import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {sha256Hex} from '@applebend/utils';
import {EngineBatch, tokenAt} from './engine_batch.js';
import {StandInServer} from './stand_in_server.js';

import type {ServerResponse} from 'node:http';
import type {EngineSpeed, Job} from './engine_batch.js';
import type {Reply, ServerOptions, StandInRequest} from './stand_in_server.js';

/** @public */
export interface ModelEngineOptions extends ServerOptions {
  readonly speed: EngineSpeed;
  /** The load report shows the state of this long ago. */
  readonly reportLagMs: number;
  /** How long a broken stream can be continued; 0 when it cannot. */
  readonly resumeGraceMs: number;
  /** Called as each run starts, with the caller's own tag. */
  readonly onRun: (tag: string) => void;
  /** Called when a marked prompt crashes the engine. */
  readonly onCrash: () => void;
}

/** What the engine did for one request; `tag` is the caller's own. @public */
export interface EngineRecord {
  readonly tag: string;
  readonly answer: string;
  readonly ended: boolean;
}

/** A prompt with this text crashes the engine. @public */
export const CRASH_MARK = 'please-crash';

const BYTES_PER_TOKEN = 4;
const CACHED_PREFIXES = 64;
const CACHED_PART = 0.8;
const DEFAULT_OUTPUT = 64;

const callSchema = z.looseObject({
  messages: z.array(z.looseObject({content: z.string()})).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().default(1024),
  user: z.string().default(''),
});

interface Answer {
  readonly job: Job;
  readonly tag: string;
  readonly id: string;
  res: ServerResponse | undefined;
  done: boolean;
  cancelled: boolean;
}

/** @public */
export class ModelEngine {
  private readonly batch: EngineBatch;
  private readonly answers = new Map<string, Answer>();
  private readonly ended: EngineRecord[] = [];
  private readonly prefixes = new Map<string, true>();
  private reports: {atMs: number; running: number; waiting: number}[] = [];
  private standIn!: StandInServer;

  private constructor(private readonly options: ModelEngineOptions) {
    this.batch = EngineBatch.create(options.speed);
  }

  static async create(options: ModelEngineOptions): Promise<ModelEngine> {
    const engine = new ModelEngine(options);
    engine.standIn = await StandInServer.create(options, request =>
      engine.handle(request)
    );
    return engine;
  }

  get server(): StandInServer {
    return this.standIn;
  }

  get running(): number {
    return this.batch.runningCount;
  }

  get waiting(): number {
    return this.batch.waitingCount;
  }

  /** Everything that ran here, ended or not. */
  get records(): EngineRecord[] {
    const open = [...this.answers.values()].map(a => recordOf(a, false));
    return [...this.ended, ...open];
  }

  async close(): Promise<void> {
    this.batch.stop();
    await this.standIn.close();
  }

  private async handle(request: StandInRequest): Promise<Reply | undefined> {
    const {pathname, searchParams} = request.url;
    if (pathname === '/v1/chat/completions') return this.chat(request);
    if (pathname === '/load') return {status: 200, body: this.loadReport()};
    if (pathname === '/now') {
      const {running, waiting} = this;
      return {status: 200, body: {running, waiting}};
    }
    if (pathname === '/records') return {status: 200, body: this.records};
    if (!pathname.startsWith('/v1/streams/')) return {status: 404, body: {}};
    const answer = this.answers.get(pathname.slice('/v1/streams/'.length));
    if (answer === undefined) return {status: 404, body: {}};
    if (request.method === 'DELETE') {
      this.cancel(answer);
      return {status: 200, body: {}};
    }
    return this.resume(answer, request, Number(searchParams.get('after')));
  }

  private async chat(request: StandInRequest): Promise<Reply | undefined> {
    const parsed = callSchema.safeParse(JSON.parse(request.body));
    if (!parsed.success) return {status: 400, body: {error: 'bad call'}};
    const call = parsed.data;
    const prompt = call.messages.map(m => m.content).join('\n');
    this.options.onRun(call.user);
    const answer = this.admit(request.body, prompt, call);
    const {faults} = this.standIn;
    const shownId = faults.crossAnswers
      ? randomUUID()
      : (request.headers['x-request-id'] ?? '');
    const headers = {'x-request-id': String(shownId)};
    if (prompt.includes(CRASH_MARK)) setTimeout(this.options.onCrash, 20);
    if (!call.stream) return this.collect(answer, request, headers);
    request.res.writeHead(200, {
      'content-type': 'text/event-stream',
      ...headers,
    });
    request.res.flushHeaders();
    this.attach(answer, request.res);
    return undefined;
  }

  private admit(
    body: string,
    prompt: string,
    call: z.infer<typeof callSchema>
  ): Answer {
    const wanted = /out=(\d+)/.exec(prompt)?.[1];
    const inputTokens = Math.ceil(prompt.length / BYTES_PER_TOKEN);
    const id = randomUUID();
    const wantedTokens = wanted === undefined ? DEFAULT_OUTPUT : Number(wanted);
    const job: Job = {
      id,
      seed: sha256Hex(body),
      inputTokens,
      outputTokens: Math.min(call.max_tokens, wantedTokens),
      prefillLeftMs: this.prefillMs(prompt, inputTokens),
      produced: 0,
      onToken: token => this.onToken(answer, token),
      onDone: () => this.onDone(answer),
    };
    const answer: Answer = {
      job,
      tag: call.user,
      id,
      res: undefined,
      done: false,
      cancelled: false,
    };
    this.answers.set(id, answer);
    this.batch.add(job);
    return answer;
  }

  private prefillMs(prompt: string, inputTokens: number): number {
    const prefix = prompt.slice(0, 64);
    const cached = this.prefixes.delete(prefix);
    this.prefixes.set(prefix, true);
    for (const oldest of this.prefixes.keys()) {
      if (this.prefixes.size <= CACHED_PREFIXES) break;
      this.prefixes.delete(oldest);
    }
    const part = cached ? 1 - CACHED_PART : 1;
    return inputTokens * part * this.options.speed.prefillPerTokenMs;
  }

  private collect(
    answer: Answer,
    request: StandInRequest,
    headers: Record<string, string>
  ): Promise<Reply> {
    request.res.on('close', () => this.cancel(answer));
    return new Promise(resolve => {
      answer.job.onDone = () => {
        this.finish(answer);
        const {inputTokens, outputTokens} = answer.job;
        const message = {role: 'assistant', content: textOf(answer)};
        resolve({
          status: 200,
          headers,
          body: {
            id: answer.id,
            choices: [{index: 0, message, finish_reason: 'stop'}],
            usage: {
              prompt_tokens: inputTokens,
              completion_tokens: outputTokens,
            },
          },
        });
      };
    });
  }

  private attach(answer: Answer, res: ServerResponse): void {
    answer.res = res;
    res.on('close', () => {
      if (answer.res !== res || answer.done) return;
      answer.res = undefined;
      const graceMs = this.options.resumeGraceMs;
      setTimeout(() => {
        if (answer.res === undefined) this.cancel(answer);
      }, graceMs).unref();
    });
  }

  private resume(
    answer: Answer,
    request: StandInRequest,
    after: number
  ): Reply | undefined {
    if (this.options.resumeGraceMs === 0) return {status: 404, body: {}};
    request.res.writeHead(200, {'content-type': 'text/event-stream'});
    request.res.flushHeaders();
    for (let i = after; i < answer.job.produced; i++) {
      writeToken(answer.id, request.res, tokenAt(answer.job.seed, i));
    }
    this.attach(answer, request.res);
    if (answer.done) this.writeEnd(answer);
    return undefined;
  }

  private onToken(answer: Answer, token: string): void {
    if (answer.res === undefined || this.standIn.faults.stallStreams) return;
    if (this.standIn.faults.severStreams) {
      answer.res.destroy();
      return;
    }
    writeToken(answer.id, answer.res, token);
  }

  private onDone(answer: Answer): void {
    if (this.standIn.faults.stallStreams) return;
    this.finish(answer);
    this.writeEnd(answer);
  }

  private writeEnd(answer: Answer): void {
    const {id, res, job} = answer;
    if (res === undefined) return;
    const usage = {
      prompt_tokens: job.inputTokens,
      completion_tokens: job.outputTokens,
    };
    res.write(`data: ${JSON.stringify({id, choices: [], usage})}\n\n`);
    res.end('data: [DONE]\n\n');
  }

  private finish(answer: Answer): void {
    answer.done = true;
    this.ended.push(recordOf(answer, true));
    const graceMs = this.options.resumeGraceMs;
    if (graceMs === 0) this.answers.delete(answer.id);
    else setTimeout(() => this.answers.delete(answer.id), graceMs).unref();
  }

  private cancel(answer: Answer): void {
    if (answer.done || answer.cancelled) return;
    answer.cancelled = true;
    this.batch.cancel(answer.job);
    this.answers.delete(answer.id);
    this.ended.push(recordOf(answer, false));
  }

  private loadReport(): {running: number; waiting: number} {
    const nowMs = Date.now();
    this.reports.push({
      atMs: nowMs,
      running: this.running,
      waiting: this.waiting,
    });
    const shownAtMs = nowMs - this.options.reportLagMs;
    while ((this.reports[1]?.atMs ?? Infinity) <= shownAtMs) {
      this.reports.shift();
    }
    const {running, waiting} = this.reports[0] ?? {running: 0, waiting: 0};
    return {running, waiting};
  }
}

function writeToken(id: string, res: ServerResponse, content: string): void {
  const chunk = {id, choices: [{index: 0, delta: {content}}]};
  res.write(`data: ${JSON.stringify(chunk)}\n\n`);
}

function textOf(answer: Answer): string {
  const {seed, produced} = answer.job;
  return Array.from({length: produced}, (_, i) => tokenAt(seed, i)).join('');
}

function recordOf(answer: Answer, ended: boolean): EngineRecord {
  return {tag: answer.tag, answer: textOf(answer), ended};
}
