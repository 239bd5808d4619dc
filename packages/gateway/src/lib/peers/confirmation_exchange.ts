import {
  decodeConfirmationRefusal,
  decodeConfirmationRequest,
  decodeConfirmationResponse,
  encodeConfirmationRefusal,
  encodeConfirmationRequest,
  encodeConfirmationResponse,
} from './confirmation_message.js';
import {MESSAGE_KIND} from './wire_rows.js';

import type {EvacuationState} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {PeerAddress, ConfirmedState, StateSource} from '../ports.js';
import type {PeerSocket} from './peer_socket.js';
import type {ConfirmationRequest} from './confirmation_message.js';

/** Requests that arrive within this time are answered from one read. */
const READ_BATCH_MS = 300;
/** The same at a peer that has to ask its own parent. */
const FORWARD_BATCH_MS = 80;
/**
 * Time without a response after which the requester reads the store itself. It
 * is longer the farther the requester is from the instance that reads for all,
 * so that a parent which has to read itself still responds in time.
 */
const RESPONSE_TIMEOUT_MS = 700;
const RESPONSE_TIMEOUT_PER_LEVEL_MS = 300;
/** After a timeout or refusal no parent is asked for this time. */
const AVOID_MS = 2500;
const MAX_NONCE = 0x7fffffff;

interface PendingRequest {
  readonly req: ConfirmationRequest;
  readonly from: PeerAddress;
}

/** @public */
export interface ConfirmationExchangeOptions {
  readonly socket: PeerSocket;
  readonly clock: Clock;
  readonly log: Logger;
  readonly source: StateSource;
  /** Returns the parent, or undefined if this instance reads the store. */
  readonly parentAddress: () => PeerAddress | undefined;
  /** Instances that pass a request on before it reaches the one that reads. */
  readonly levelsAbove: () => number;
  /** Returns the evacuations that this instance holds. */
  readonly evacuations: () => EvacuationState | undefined;
  /** Called with those of the parent, before its confirmation counts. */
  readonly onEvacuations: (state: EvacuationState) => void;
}

/**
 * Lets a few instances read the store for many. A member of a group asks its
 * relay which state is the newest, that relay asks the relay of the parent
 * group, and the relay of the topmost group reads the store. A response always
 * rests on a read that began after the request arrived, so the requester may
 * count the age of its confirmation from the time of its request.
 *
 * @public
 */
export class ConfirmationExchange {
  private pending: PendingRequest[] = [];
  private batchTimer: NodeJS.Timeout | undefined;
  private nonce = 0;
  private readonly waiting = new Map<
    number,
    (state: ConfirmedState | undefined) => void
  >();
  private avoidUntilMs = -Infinity;

  private constructor(private readonly options: ConfirmationExchangeOptions) {
    const {socket} = options;
    socket.handle(MESSAGE_KIND.confirmationRequest, (wire, from) =>
      this.onRequest(wire, from)
    );
    socket.handle(MESSAGE_KIND.confirmationResponse, wire =>
      this.onResponse(wire)
    );
    socket.handle(MESSAGE_KIND.confirmationRefusal, wire =>
      this.onRefusal(wire)
    );
  }

  static create(options: ConfirmationExchangeOptions): ConfirmationExchange {
    return new ConfirmationExchange(options);
  }

  stop(): void {
    clearTimeout(this.batchTimer);
  }

  /**
   * Asks the parent which state is the newest. Resolves to undefined if there
   * is no parent or none responded in time.
   *
   * @param targetsKey - key of the target list that is held here
   */
  async request(targetsKey: number): Promise<ConfirmedState | undefined> {
    const {socket, clock, parentAddress} = this.options;
    const parent = parentAddress();
    const nowMs = clock.monotonicMs();
    if (parent === undefined || nowMs < this.avoidUntilMs) return undefined;
    this.nonce = (this.nonce + 1) % MAX_NONCE;
    const {nonce} = this;
    const response = this.responseTo(nonce);
    socket.send(encodeConfirmationRequest({nonce, targetsKey}), parent);
    const state = await response;
    if (state === undefined) this.avoidParents(parent);
    return state;
  }

  private avoidParents(parent: PeerAddress): void {
    const {clock, log} = this.options;
    this.avoidUntilMs = clock.monotonicMs() + AVOID_MS;
    log.warn('no confirmation from parent peer', {
      host: parent.host,
      avoidMs: AVOID_MS,
    });
  }

  private responseTo(nonce: number): Promise<ConfirmedState | undefined> {
    return new Promise(resolve => {
      const settle = (state: ConfirmedState | undefined) => {
        clearTimeout(timer);
        this.waiting.delete(nonce);
        resolve(state);
      };
      const levelsMs =
        RESPONSE_TIMEOUT_PER_LEVEL_MS * this.options.levelsAbove();
      const timeoutMs = RESPONSE_TIMEOUT_MS + levelsMs;
      const timer = setTimeout(() => settle(undefined), timeoutMs);
      this.waiting.set(nonce, settle);
    });
  }

  private onRequest(wire: readonly unknown[], from: PeerAddress): boolean {
    const req = decodeConfirmationRequest(wire);
    if (req === undefined) return false;
    this.pending.push({req, from});
    const batchMs = this.readsItself ? READ_BATCH_MS : FORWARD_BATCH_MS;
    this.batchTimer ??= setTimeout(() => void this.respond(), batchMs);
    return true;
  }

  /** Whether this instance has no parent, or none that responds. */
  private get readsItself(): boolean {
    const {parentAddress, clock} = this.options;
    const isAvoiding = clock.monotonicMs() < this.avoidUntilMs;
    return isAvoiding || parentAddress() === undefined;
  }

  /**
   * Responds to the requests that arrived before the read began. If the read
   * fails the requesters are told, so that they need not wait.
   */
  private async respond(): Promise<void> {
    const {socket, source, evacuations} = this.options;
    const {pending} = this;
    this.pending = [];
    this.batchTimer = undefined;
    const state = await source.confirm();
    for (const {req, from} of pending) {
      const response =
        state === undefined
          ? encodeConfirmationRefusal(req)
          : encodeConfirmationResponse(req, state, evacuations());
      socket.send(response, from);
    }
  }

  private onRefusal(wire: readonly unknown[]): boolean {
    const nonce = decodeConfirmationRefusal(wire);
    if (nonce === undefined) return false;
    this.waiting.get(nonce)?.(undefined);
    return true;
  }

  private onResponse(wire: readonly unknown[]): boolean {
    const response = decodeConfirmationResponse(wire);
    if (response === undefined) return false;
    const {nonce, state, evacuations} = response;
    const settle = this.waiting.get(nonce);
    if (settle === undefined) return true;
    if (evacuations !== undefined) this.options.onEvacuations(evacuations);
    settle(state);
    return true;
  }
}
