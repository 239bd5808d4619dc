import type {DispatcherMessage, EntryMessage} from '../dispatch_types.js';

interface Address {
  readonly from: string;
  readonly to: string;
  /** Number of times that the link had been replaced when it was sent. */
  readonly session: number;
}

/** A message under way from one instance to another. */
export type Envelope = Address & {
  /** The sender's clock when it sent the message. */
  readonly sentAtMs: number;
} & (
    | {readonly receiver: 'dispatcher'; readonly message: EntryMessage}
    | {readonly receiver: 'entry'; readonly message: DispatcherMessage}
  );

/** Messages under way in one direction over one session of a link. */
interface Channel {
  readonly from: string;
  readonly to: string;
  readonly receiver: Envelope['receiver'];
  readonly queue: Envelope[];
}

/**
 * The links between simulated instances. Each channel delivers in order;
 * messages of different channels may overtake each other. When a link is
 * replaced, its messages are lost and its session ends.
 */
export class SimulatedNetwork {
  /** Link of two instances to the number of times that it was replaced. */
  private readonly sessions = new Map<string, number>();
  private channels: Channel[] = [];

  private constructor() {}

  static create(): SimulatedNetwork {
    return new SimulatedNetwork();
  }

  /** The current session of the link between two instances. */
  sessionOf(a: string, b: string): number {
    return this.sessions.get(linkOf(a, b)) ?? 0;
  }

  /** Sends a message; it is lost if its session has ended. */
  send(envelope: Envelope): void {
    const {from, to, session, receiver} = envelope;
    if (this.sessionOf(from, to) !== session) return;
    let channel = this.channels.find(
      c => c.from === from && c.to === to && c.receiver === receiver
    );
    if (channel === undefined) {
      channel = {from, to, receiver, queue: []};
      this.channels.push(channel);
    }
    channel.queue.push(envelope);
  }

  /** Takes the first message of one channel; undefined if all are empty. */
  receive(pick: number): Envelope | undefined {
    const full = this.channels.filter(c => c.queue.length > 0);
    return full[pick % Math.max(1, full.length)]?.queue.shift();
  }

  /** Starts a new session of a link; messages under way on it are lost. */
  replaceLink(a: string, b: string): void {
    const link = linkOf(a, b);
    this.sessions.set(link, (this.sessions.get(link) ?? 0) + 1);
    this.channels = this.channels.filter(c => linkOf(c.from, c.to) !== link);
  }

  /** Drops all messages from and to an instance, its own ones included. */
  dropMessagesOf(id: string): void {
    this.channels = this.channels.filter(c => c.from !== id && c.to !== id);
  }
}

/** The key of the link between two instances. */
function linkOf(a: string, b: string): string {
  return a < b ? `${a}-${b}` : `${b}-${a}`;
}
