/**
 * Lets few instances read the outside systems for many. A member asks its
 * relay which state is newest, and that relay the relay of the group above its
 * own; the relay of the topmost group reads. An answer rests on a read that began after the
 * question had come, so that the asking instance may count its proof from the
 * time at which it asked.
 */
import {
  decodeAnswer,
  decodeAsk,
  encodeAnswer,
  encodeAsk,
} from './proof_message.js';
import {MESSAGE_KIND} from './wire_rows.js';

import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {PeerAddress, ConfirmedState, StateSource} from '../ports.js';
import type {PeerSocket} from './peer_socket.js';
import type {ProofAsk} from './proof_message.js';

/** Questions that come within this time are answered by one read. */
const GATHER_TO_READ_MS = 200;
/** The same for a peer that asks another one in turn. */
const GATHER_TO_ASK_MS = 80;
/** Without an answer for so long the asking instance reads for itself. */
const ANSWER_TIMEOUT_MS = 600;
/** A peer that gave no answer is not asked again for so long. */
const AVOID_MS = 2500;
const MAX_NONCE = 0x7fffffff;

interface Question {
  readonly ask: ProofAsk;
  readonly from: PeerAddress;
}

/** @public */
export interface ProofExchangeOptions {
  readonly socket: PeerSocket;
  readonly clock: Clock;
  readonly log: Logger;
  readonly source: StateSource;
  /** Whom to ask; undefined for one that reads for itself. */
  readonly superior: () => PeerAddress | undefined;
}

/** @public */
export class ProofExchange {
  private questions: Question[] = [];
  private gathering: NodeJS.Timeout | undefined;
  private nonce = 0;
  private readonly waiting = new Map<
    number,
    (state: ConfirmedState | undefined) => void
  >();
  private avoidUntilMs = -Infinity;

  private constructor(private readonly options: ProofExchangeOptions) {
    const {socket} = options;
    socket.handle(MESSAGE_KIND.ask, (wire, from) => this.onAsk(wire, from));
    socket.handle(MESSAGE_KIND.answer, wire => this.onAnswer(wire));
  }

  static create(options: ProofExchangeOptions): ProofExchange {
    return new ProofExchange(options);
  }

  stop(): void {
    clearTimeout(this.gathering);
  }

  /** What the peer that reads says; undefined where none answers in time. */
  async ask(targetsKey: number): Promise<ConfirmedState | undefined> {
    const {socket, clock, superior} = this.options;
    const peer = superior();
    const nowMs = clock.monotonicMs();
    if (peer === undefined || nowMs < this.avoidUntilMs) return undefined;
    this.nonce = (this.nonce + 1) % MAX_NONCE;
    const {nonce} = this;
    const answer = this.answerTo(nonce);
    socket.send(encodeAsk({nonce, targetsKey}), peer);
    const state = await answer;
    if (state === undefined) this.onNoAnswer(peer);
    return state;
  }

  private onNoAnswer(peer: PeerAddress): void {
    const {clock, log} = this.options;
    this.avoidUntilMs = clock.monotonicMs() + AVOID_MS;
    log.warn('no proof from peer', {host: peer.host, avoidMs: AVOID_MS});
  }

  private answerTo(nonce: number): Promise<ConfirmedState | undefined> {
    return new Promise(resolve => {
      const end = (state: ConfirmedState | undefined) => {
        clearTimeout(timer);
        this.waiting.delete(nonce);
        resolve(state);
      };
      const timer = setTimeout(() => end(undefined), ANSWER_TIMEOUT_MS);
      this.waiting.set(nonce, end);
    });
  }

  private onAsk(wire: readonly unknown[], from: PeerAddress): boolean {
    const ask = decodeAsk(wire);
    if (ask === undefined) return false;
    this.questions.push({ask, from});
    const isReader = this.options.superior() === undefined;
    const gatherMs = isReader ? GATHER_TO_READ_MS : GATHER_TO_ASK_MS;
    this.gathering ??= setTimeout(() => void this.serve(), gatherMs);
    return true;
  }

  /** Answers the questions that came before the read. */
  private async serve(): Promise<void> {
    const {socket, source} = this.options;
    const {questions} = this;
    this.questions = [];
    this.gathering = undefined;
    const state = await source.confirm();
    if (state === undefined) return;
    for (const {ask, from} of questions) {
      socket.send(encodeAnswer(ask, state), from);
    }
  }

  private onAnswer(wire: readonly unknown[]): boolean {
    const answer = decodeAnswer(wire);
    if (answer === undefined) return false;
    this.waiting.get(answer.nonce)?.(answer.state);
    return true;
  }
}
