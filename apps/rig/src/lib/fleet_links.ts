import {Relay} from './relay.js';
import {PEER_PORT} from './router.js';

/**
 * The relays through which the routers of a fleet link to each other, and the
 * faults of these links. Routers are named by their index.
 */
export class FleetLinks {
  private readonly relays: Relay[] = [];

  private constructor(private readonly hostOf: (index: number) => string) {}

  /** @param hostOf - returns the host of a router */
  static create(hostOf: (index: number) => string): FleetLinks {
    return new FleetLinks(hostOf);
  }

  /** Adds the relay of the next router, at an address of its own. */
  async add(relayHost: string): Promise<void> {
    const relay = await Relay.create({
      host: relayHost,
      port: PEER_PORT,
      targetHost: this.hostOf(this.relays.length),
      targetPort: PEER_PORT,
    });
    this.relays.push(relay);
  }

  /** Cuts the links between two routers, in both directions. */
  cut(a: number, b: number): void {
    this.relays[a]?.cut(this.hostOf(b));
    this.relays[b]?.cut(this.hostOf(a));
  }

  /** Holds back all data between two routers; their links stay open. */
  stall(a: number, b: number): void {
    this.relays[a]?.stall(this.hostOf(b));
    this.relays[b]?.stall(this.hostOf(a));
  }

  heal(a: number, b: number): void {
    this.relays[a]?.heal(this.hostOf(b));
    this.relays[b]?.heal(this.hostOf(a));
  }

  isolate(index: number): void {
    for (const other of this.othersThan(index)) this.cut(index, other);
  }

  rejoin(index: number): void {
    for (const other of this.othersThan(index)) this.heal(index, other);
  }

  async close(): Promise<void> {
    await Promise.all(this.relays.map(relay => relay.close()));
  }

  private othersThan(index: number): number[] {
    return [...this.relays.keys()].filter(other => other !== index);
  }
}
