import {FleetLayout, relayOf} from '@applebend/routing';

import type {PeerAddress, PeerInfo} from '../ports.js';

/**
 * If a group's relay has been silent for longer, its address is considered
 * unknown.
 */
const RELAY_TIMEOUT_MS = 1000;

interface RelayRecord {
  readonly address: PeerAddress;
  readonly receivedAtMs: number;
}

/**
 * The known peers, their division into groups, and which of them this instance
 * sends to. A group's relay exchanges aggregates with the other groups.
 *
 * @public
 */
export class PeerDirectory {
  private readonly listedPeers = new Map<string, PeerInfo>();
  /** All addresses ever configured, listed or received from, by `host:port`. */
  private readonly addresses = new Map<string, PeerAddress>();
  private readonly relays = new Map<number, RelayRecord>();
  private layout: FleetLayout<PeerInfo>;

  private constructor(private readonly self: PeerInfo) {
    this.listedPeers.set(self.instance, self);
    this.layout = FleetLayout.create([self]);
  }

  static create(self: PeerInfo): PeerDirectory {
    return new PeerDirectory(self);
  }

  /** Whether the fleet is so large that it is divided into groups. */
  get hasMultipleGroups(): boolean {
    return this.layout.hasMultipleGroups;
  }

  /** Index of this instance's group. */
  get ownGroup(): number {
    return this.layout.groupOf(this.self.instance) ?? 0;
  }

  get groupCount(): number {
    return this.layout.groups.length;
  }

  /** Adds instances that are registered in the store. */
  addListedPeers(peers: readonly PeerInfo[]): void {
    for (const peer of peers) {
      if (peer.instance === this.self.instance) continue;
      this.listedPeers.set(peer.instance, peer);
      this.addAddress(peer);
    }
    if (peers.length === 0) return;
    this.layout = FleetLayout.create([...this.listedPeers.values()]);
  }

  /** Adds an address that was configured, listed or received from. */
  addAddress({host, port}: PeerAddress): void {
    if (host === this.self.host && port === this.self.port) return;
    this.addresses.set(`${host}:${port}`, {host, port});
  }

  /** Returns the peers to which this instance sends its own load. */
  directPeers(): Iterable<PeerAddress> {
    return this.hasMultipleGroups
      ? this.otherGroupMembers()
      : this.addresses.values();
  }

  /**
   * Returns whether the load of a peer is to be taken from its own messages and
   * not from aggregates. A peer that is not listed yet counts as direct.
   */
  isDirect(instance: string): boolean {
    const group = this.layout.groupOf(instance);
    return group === undefined || group === this.ownGroup;
  }

  /** Returns the members of this instance's group except itself. */
  otherGroupMembers(): PeerInfo[] {
    return this.membersOf(this.ownGroup).filter(
      ({instance}) => instance !== this.self.instance
    );
  }

  membersOf(group: number): readonly PeerInfo[] {
    return this.layout.groups[group] ?? [];
  }

  /** Returns the relay of this instance's group, chosen among live members. */
  ownRelay(isAlive: (instance: string) => boolean): PeerInfo | undefined {
    return relayOf(this.membersOf(this.ownGroup), isAlive);
  }

  /** Stores the address from which another group's relay sent a message. */
  onRelayMessage(group: number, address: PeerAddress, nowMs: number): void {
    this.relays.set(group, {address, receivedAtMs: nowMs});
  }

  /**
   * Returns the address of another group's relay, or undefined if it sent
   * nothing recently.
   */
  relayAddress(group: number, nowMs: number): PeerAddress | undefined {
    const record = this.relays.get(group);
    if (record === undefined) return undefined;
    const isRecent = nowMs - record.receivedAtMs <= RELAY_TIMEOUT_MS;
    return isRecent ? record.address : undefined;
  }

  /** The group whose relay this group's relay asks for confirmations. */
  get parentGroup(): number | undefined {
    return this.layout.parentGroupOf(this.ownGroup);
  }
}
