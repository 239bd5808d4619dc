/**
 * A TCP proxy between one machine and the store. `silence` makes the open
 * connections go silent for good, without a reset; new ones work.
 */
import net from 'node:net';

export class Proxy {
  pairs = new Set();
  silenced = 0;

  static async start(host, target) {
    const proxy = new Proxy();
    proxy.target = target;
    proxy.server = net.createServer(socket => proxy.onConnection(socket));
    await new Promise(resolve => proxy.server.listen(0, host, resolve));
    proxy.port = proxy.server.address().port;
    return proxy;
  }

  onConnection(near) {
    const far = net.connect(this.target);
    const pair = {near, far, isSilent: false};
    this.pairs.add(pair);
    for (const [from, to] of [
      [near, far],
      [far, near],
    ]) {
      from.setNoDelay(true);
      from.on('data', data => {
        if (!pair.isSilent) to.write(data);
      });
      from.on('error', () => undefined);
      from.on('close', () => {
        if (!pair.isSilent) to.destroy();
        this.pairs.delete(pair);
      });
    }
  }

  /** Returns how many connections went silent. */
  silence() {
    let count = 0;
    for (const pair of this.pairs) {
      pair.isSilent = true;
      count += 1;
    }
    return count;
  }

  close() {
    this.server.close();
    for (const {near, far} of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }
}
