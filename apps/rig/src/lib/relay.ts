import net from 'node:net';
import {once} from 'node:events';

/** Where a relay listens, and the address that it forwards to. */
export interface RelayOptions {
  readonly host: string;
  readonly port: number;
  readonly targetHost: string;
  readonly targetPort: number;
}

/** The two connections of a relayed link. */
interface Pair {
  /** Source address of the peer that opened the link. */
  readonly from: string;
  readonly client: net.Socket;
  readonly upstream: net.Socket;
}

/**
 * A TCP relay in front of an instance's peer port. It can cut or stall the
 * links that single peers open, which it tells apart by their source address.
 */
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

  /** Closes the links of a peer and refuses new ones. */
  cut(from: string): void {
    this.cutFrom.add(from);
    for (const pair of this.pairs) {
      if (pair.from === from) close(pair);
    }
  }

  /** Holds back all data between a peer and the instance. */
  stall(from: string): void {
    this.stalledFrom.add(from);
    for (const pair of this.pairs) {
      if (pair.from !== from) continue;
      pair.client.pause();
      pair.upstream.pause();
    }
  }

  /** Ends the cut or stall of a peer. */
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
