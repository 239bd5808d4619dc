/** A TCP relay before one instance's peer port that can cut or stall pairs. */
import net from 'node:net';
import {once} from 'node:events';

/** Where a relay listens and where it leads. */
export interface RelayOptions {
  readonly host: string;
  readonly port: number;
  readonly targetHost: string;
  readonly targetPort: number;
}

interface Pair {
  readonly from: string;
  readonly client: net.Socket;
  readonly upstream: net.Socket;
}

/** Dialers are told apart by the address that they come from. */
export class Relay {
  private readonly cutFrom = new Set<string>();
  private readonly stalledFrom = new Set<string>();
  private readonly pairs = new Set<Pair>();
  private readonly server: net.Server;

  private constructor(private readonly options: RelayOptions) {
    this.server = net.createServer(client => this.connect(client));
  }

  static async create(options: RelayOptions): Promise<Relay> {
    const relay = new Relay(options);
    relay.server.listen(options.port, options.host);
    await once(relay.server, 'listening');
    return relay;
  }

  /** Refuses a dialer, and closes the links that it has. */
  cut(from: string): void {
    this.cutFrom.add(from);
    for (const pair of this.pairs) {
      if (pair.from === from) close(pair);
    }
  }

  /** Holds back everything between a dialer and the instance. */
  stall(from: string): void {
    this.stalledFrom.add(from);
    for (const pair of this.pairs) {
      if (pair.from !== from) continue;
      pair.client.pause();
      pair.upstream.pause();
    }
  }

  /** Ends cuts and stalls of a dialer. */
  heal(from: string): void {
    this.cutFrom.delete(from);
    this.stalledFrom.delete(from);
    for (const pair of this.pairs) {
      if (pair.from !== from) continue;
      pair.client.resume();
      pair.upstream.resume();
    }
  }

  async close(): Promise<void> {
    for (const pair of this.pairs) close(pair);
    await new Promise(resolve => this.server.close(resolve));
  }

  private connect(client: net.Socket): void {
    const from = client.remoteAddress ?? '';
    client.on('error', () => {});
    if (this.cutFrom.has(from)) {
      client.destroy();
      return;
    }
    const {targetHost, targetPort} = this.options;
    const upstream = net.connect({
      host: targetHost,
      port: targetPort,
      localAddress: this.options.host,
    });
    const pair = {from, client, upstream};
    this.pairs.add(pair);
    for (const socket of [client, upstream]) {
      socket.on('error', () => close(pair));
      socket.on('close', () => {
        this.pairs.delete(pair);
        close(pair);
      });
    }
    client.on('data', chunk => upstream.write(chunk));
    upstream.on('data', chunk => client.write(chunk));
    if (!this.stalledFrom.has(from)) return;
    client.pause();
    upstream.pause();
  }
}

function close({client, upstream}: Pair): void {
  client.destroy();
  upstream.destroy();
}
