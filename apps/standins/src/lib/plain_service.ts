import {sleep} from '@applebend/utils';
import {StandIn} from './stand_in.js';

import type {
  StandInResponse,
  ServerOptions,
  StandInRequest,
} from './stand_in_server.js';

/** Address, run time and callbacks of a plain service. @public */
export interface PlainServiceOptions extends ServerOptions {
  /** How long each run takes. */
  readonly workMs: number;
  /** Called when a run starts, with its key. */
  readonly onRun: (key: string) => void;
  /** Called when a request body contains `please-crash`. */
  readonly onCrash: () => void;
}

/** One run of a request. @public */
export interface PlainRecord {
  /** The idempotency key of the request, else its `x-tag` header. */
  readonly key: string;
  readonly path: string;
}

/**
 * A stand-in for a plain service. It records every run with its key, and
 * responds with the number of runs of that key so far, so that tests can
 * detect requests that ran more than once.
 * @public
 */
export class PlainService extends StandIn {
  readonly records: PlainRecord[] = [];
  running = 0;

  private constructor(private readonly options: PlainServiceOptions) {
    super();
  }

  static create(options: PlainServiceOptions): Promise<PlainService> {
    return new PlainService(options).listen(options);
  }

  protected async handle(request: StandInRequest): Promise<StandInResponse> {
    const {pathname} = request.url;
    if (pathname === '/records') return {status: 200, body: this.records};
    if (pathname === '/load') {
      return {status: 200, body: {running: this.running, waiting: 0}};
    }
    const {headers, body} = request;
    const key = String(headers['idempotency-key'] ?? headers['x-tag'] ?? '');
    this.records.push({key, path: pathname});
    this.options.onRun(key);
    if (body.includes('please-crash')) this.options.onCrash();
    this.running += 1;
    await sleep(this.options.workMs);
    this.running -= 1;
    const run = this.records.filter(record => record.key === key).length;
    return {
      status: 200,
      headers: {'x-request-id': String(headers['x-request-id'] ?? '')},
      body: {key, path: pathname, run, echo: body},
    };
  }
}
