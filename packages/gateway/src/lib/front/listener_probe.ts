import net from 'node:net';
import {ListenerHealth} from '@applebend/routing';

import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {ListenAddress} from '../ports.js';

/** @public */
export interface ListenerProbeOptions {
  /** Where the listener accepts connections. */
  readonly address: ListenAddress;
  readonly clock: Clock;
  readonly log: Logger;
  /** Figures for the line that is logged when the listener changes. */
  readonly figures: () => Readonly<Record<string, number>>;
}

const INTERVAL_MS = 400;
/** A packet that is dropped by a full queue is sent again after a second. */
const TIMEOUT_MS = 1500;
/** Has no host, so it is answered at once and reaches no target. */
const PROBE_REQUEST = 'GET / HTTP/1.1\r\nHost:\r\nConnection: close\r\n\r\n';

/**
 * Connects to a listener of this process as a caller does, to learn how long its
 * callers wait. Other listeners do not show it: the event loop accepts one
 * connection a turn of each, so one with a long queue is slow by itself.
 *
 * @public
 */
export class ListenerProbe {
  private readonly health = ListenerHealth.create();
  private timer: NodeJS.Timeout | undefined;
  private socket: net.Socket | undefined;
  private wasResponsive = true;

  private constructor(private readonly options: ListenerProbeOptions) {}

  static create(options: ListenerProbeOptions): ListenerProbe {
    return new ListenerProbe(options);
  }

  /** How long a caller's new connection waits, in milliseconds. */
  get delayMs(): number {
    return this.health.delayMs(this.options.clock.monotonicMs());
  }

  /** Whether new connections are accepted and read in time. */
  get isResponsive(): boolean {
    return this.health.isResponsive(this.options.clock.monotonicMs());
  }

  /** Sends probes until `stop` is called. */
  start(): void {
    this.timer = setInterval(() => this.onTick(), INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.socket?.destroy();
  }

  private onTick(): void {
    this.logChange();
    if (this.socket === undefined) this.probe();
  }

  private probe(): void {
    const {address, clock} = this.options;
    const socket = net.connect(address);
    this.socket = socket;
    this.health.onProbeSent(clock.monotonicMs());
    let isAnswered = false;
    socket.setTimeout(TIMEOUT_MS, () => socket.destroy());
    socket.on('error', err => this.logFailure(err));
    socket.once('connect', () => socket.write(PROBE_REQUEST));
    socket.once('data', () => {
      isAnswered = true;
      socket.destroy();
    });
    socket.once('close', () => {
      this.socket = undefined;
      if (isAnswered) this.health.onProbeAnswered(clock.monotonicMs());
      else this.health.onProbeFailed();
      this.logChange();
    });
  }

  private logFailure({message}: Error): void {
    this.options.log.info('listener probe failed', {message});
  }

  private logChange(): void {
    const {isResponsive, delayMs, options} = this;
    if (isResponsive === this.wasResponsive) return;
    this.wasResponsive = isResponsive;
    options.log.warn('listener responsiveness changed', {
      isResponsive,
      delayMs,
      ...options.figures(),
    });
  }
}
