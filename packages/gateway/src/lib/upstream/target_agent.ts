import http from 'node:http';
import {FlushedEndSocket} from '@applebend/utils';

import type {NetConnectOpts, Socket} from 'node:net';

const MAX_IDLE_PER_TARGET = 16;
/** For targets that do not name their idle timeout. */
const DEFAULT_IDLE_MS = 3000;
/** Longest time for which a connection is kept, whatever its target says. */
const MAX_IDLE_MS = 30_000;
/** An idle connection is closed this long before the target would close it. */
const IDLE_MARGIN_MS = 1000;
/** The idle timeout in a Keep-Alive header, in seconds. */
const KEEP_ALIVE_HINT = /timeout=(\d+)/;

/**
 * Keeps connections to targets open between requests. Closes an idle connection
 * on which any bytes arrive, so that they are never read as the response to a
 * later request.
 *
 * @public
 */
export class TargetAgent extends http.Agent {
  /** Handlers that close an idle socket when anything arrives. */
  private readonly guards = new WeakMap<Socket, () => void>();

  private constructor() {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_PER_TARGET,
      scheduling: 'lifo',
      noDelay: true,
    });
  }

  static create(): TargetAgent {
    return new TargetAgent();
  }

  /** Called by Node to open a connection. */
  override createConnection(options: NetConnectOpts): FlushedEndSocket {
    return FlushedEndSocket.create(options);
  }

  /** Called by Node when a response is complete; false closes the socket. */
  override keepSocketAlive(socket: Socket): boolean {
    const idleMs = idleTimeoutMs(socket);
    if (idleMs <= 0) return false;
    const guard = () => socket.destroy();
    this.guards.set(socket, guard);
    socket.on('data', guard);
    socket.on('end', guard);
    socket.setTimeout(idleMs);
    socket.unref();
    return true;
  }

  /** Called by Node before an idle socket is used for the next request. */
  override reuseSocket(socket: Socket, req: http.ClientRequest): void {
    const guard = this.guards.get(socket);
    if (guard !== undefined) {
      socket.off('data', guard);
      socket.off('end', guard);
    }
    socket.setTimeout(0);
    super.reuseSocket(socket, req);
  }
}

/** How long a connection may be idle, given the target's Keep-Alive header. */
function idleTimeoutMs(socket: Socket): number {
  // Node keeps the last request of a socket in an undocumented property.
  const message = (socket as {_httpMessage?: http.ClientRequest})._httpMessage;
  const res = (message as {res?: http.IncomingMessage} | undefined)?.res;
  const hint = res?.headers['keep-alive'];
  const seconds = KEEP_ALIVE_HINT.exec(String(hint ?? ''))?.[1];
  if (seconds === undefined) return DEFAULT_IDLE_MS;
  return Math.min(MAX_IDLE_MS, Number(seconds) * 1000 - IDLE_MARGIN_MS);
}
