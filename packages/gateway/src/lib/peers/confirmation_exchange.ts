import {
  decodeConfirmationRequest,
  decodeConfirmationResponse,
  encodeConfirmationRequest,
  encodeConfirmationResponse,
} from './confirmation_message.js';
import {MESSAGE_KIND} from './wire_rows.js';

import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {PeerAddress, ConfirmedState, StateSource} from '../ports.js';
import type {PeerSocket} from './peer_socket.js';
import type {ConfirmationRequest} from './confirmation_message.js';

/** Requests that arrive within this time are answered from one read. */
const READ_BATCH_MS = 300;
/** The same at a peer that has to ask its own parent. */
const FORWARD_BATCH_MS = 80;
/** After this time without a response the requester reads the store itself. */
const RESPONSE_TIMEOUT_MS = 800;
/** After a timeout no request is sent to any parent for this time. */
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
    if (state === undefined) this.onTimeout(parent);
    return state;
  }

  private onTimeout(parent: PeerAddress): void {
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
      const timer = setTimeout(() => settle(undefined), RESPONSE_TIMEOUT_MS);
      this.waiting.set(nonce, settle);
    });
  }

  private onRequest(wire: readonly unknown[], from: PeerAddress): boolean {
    const req = decodeConfirmationRequest(wire);
    if (req === undefined) return false;
    this.pending.push({req, from});
    const isReader = this.options.parentAddress() === undefined;
    const batchMs = isReader ? READ_BATCH_MS : FORWARD_BATCH_MS;
    this.batchTimer ??= setTimeout(() => void this.respond(), batchMs);
    return true;
  }

  /**
   * Responds to the requests that arrived before the read began. If the read
   * fails there is no response, and the requesters time out.
   */
  private async respond(): Promise<void> {
    const {socket, source} = this.options;
    const {pending} = this;
    this.pending = [];
    this.batchTimer = undefined;
    const state = await source.confirm();
    if (state === undefined) return;
    for (const {req, from} of pending) {
      socket.send(encodeConfirmationResponse(req, state), from);
    }
  }

  private onResponse(wire: readonly unknown[]): boolean {
    const response = decodeConfirmationResponse(wire);
    if (response === undefined) return false;
    this.waiting.get(response.nonce)?.(response.state);
    return true;
  }
}
