/** Which peers there are, and which of them this instance tells what. */
import {FleetLayout, relayOf} from '@applebend/routing';

import type {PeerAddress, PeerInfo} from '../ports.js';

/** A group's relay that has been silent for longer is searched for again. */
const RELAY_SILENT_MS = 1000;

interface HeardRelay {
  readonly address: PeerAddress;
  readonly heardAtMs: number;
}

/** @public */
export class PeerDirectory {
  private readonly listed = new Map<string, PeerInfo>();
  /** All addresses that were ever named or heard, by `host:port`. */
  private readonly addresses = new Map<string, PeerAddress>();
  private readonly relays = new Map<number, HeardRelay>();
  private layout: FleetLayout<PeerInfo>;

  private constructor(private readonly self: PeerInfo) {
    this.listed.set(self.instance, self);
    this.layout = FleetLayout.create([self]);
  }

  static create(self: PeerInfo): PeerDirectory {
    return new PeerDirectory(self);
  }

  /** Whether the fleet is so large that it has several groups. */
  get isSplit(): boolean {
    return this.layout.hasMultipleGroups;
  }

  get ownGroup(): number {
    return this.layout.groupOf(this.self.instance) ?? 0;
  }

  get groupCount(): number {
    return this.layout.groups.length;
  }

  /** Adds instances that the outside systems list. */
  onListed(peers: readonly PeerInfo[]): void {
    for (const peer of peers) {
      if (peer.instance === this.self.instance) continue;
      this.listed.set(peer.instance, peer);
      this.onAddress(peer);
    }
    if (peers.length === 0) return;
    this.layout = FleetLayout.create([...this.listed.values()]);
  }

  /** Adds an address that was named or heard. */
  onAddress({host, port}: PeerAddress): void {
    if (host === this.self.host && port === this.self.port) return;
    this.addresses.set(`${host}:${port}`, {host, port});
  }

  /** Whom this instance tells of its own work. */
  neighbours(): Iterable<PeerAddress> {
    return this.isSplit ? this.groupPeers() : this.addresses.values();
  }

  /** Whether that instance's own work is to be heard from itself. */
  isNeighbour(instance: string): boolean {
    const group = this.layout.groupOf(instance);
    return group === undefined || group === this.ownGroup;
  }

  /** The other members of the own group. */
  groupPeers(): PeerInfo[] {
    return this.membersOf(this.ownGroup).filter(
      ({instance}) => instance !== this.self.instance
    );
  }

  membersOf(group: number): readonly PeerInfo[] {
    return this.layout.groups[group] ?? [];
  }

  /** The own group's relay among the members that are alive. */
  ownRelay(isAlive: (instance: string) => boolean): PeerInfo | undefined {
    return relayOf(this.membersOf(this.ownGroup), isAlive);
  }

  onRelayHeard(group: number, address: PeerAddress, nowMs: number): void {
    this.relays.set(group, {address, heardAtMs: nowMs});
  }

  /** The relay of another group, where it was heard of late. */
  relayAt(group: number, nowMs: number): PeerAddress | undefined {
    const heard = this.relays.get(group);
    if (heard === undefined) return undefined;
    const isRecent = nowMs - heard.heardAtMs <= RELAY_SILENT_MS;
    return isRecent ? heard.address : undefined;
  }

  /** The group whose relay the own group's relay asks for proofs. */
  get superiorGroup(): number | undefined {
    return this.layout.parentGroupOf(this.ownGroup);
  }
}
