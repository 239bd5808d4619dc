/** Hands what comes from peers to the tasks that it is meant for. */
import {match} from 'ts-pattern';

import type {DispatcherMessage, EntryMessage} from '@applebend/core';
import type {PeerIdentity, PeerMessage} from '@applebend/protocol';
import type {CellRegistry} from '../cells/cell_registry.js';
import type {ConfigTask} from '../config/config_task.js';
import type {LossTask} from '../losses/loss_task.js';
import type {MembershipTask} from '../membership/membership_task.js';
import type {PeerMesh} from './peer_mesh.js';

/** The tasks that hear of peers. @public */
export interface PeerInboxParts {
  readonly membership: MembershipTask;
  readonly config: ConfigTask;
  readonly cells: CellRegistry;
  readonly losses: LossTask;
  readonly mesh: () => PeerMesh;
  /** Called when the fleet may look different. */
  readonly onFleetChange: () => void;
}

/** @public */
export class PeerInbox {
  private readonly incarnations = new Map<string, string>();
  /** Cells that are not known here yet, and the peers that spoke to them. */
  private readonly early = new Map<string, Set<string>>();

  private constructor(private readonly parts: PeerInboxParts) {}

  static create(parts: PeerInboxParts): PeerInbox {
    return new PeerInbox(parts);
  }

  /** The latest life of a peer that was linked to. */
  incarnationOf(peer: string): string | undefined {
    return this.incarnations.get(peer);
  }

  onUp({instance, incarnation}: PeerIdentity): void {
    const {membership, config, losses, mesh} = this.parts;
    const before = this.incarnations.get(instance);
    this.incarnations.set(instance, incarnation);
    if (before !== undefined && before !== incarnation) this.onEnded(instance);
    membership.beat();
    for (const loss of losses.known)
      mesh().send(instance, {type: 'loss', loss});
    if (!config.ready) mesh().send(instance, {type: 'config_request'});
  }

  onDown({instance}: PeerIdentity): void {
    this.parts.membership.view.onLinkLost(instance);
    for (const [, cell] of this.parts.cells) cell.onPeerDown(instance);
    this.parts.onFleetChange();
  }

  /** Lets peers that spoke to a cell before it was known here speak again. */
  onCellsChange(): void {
    for (const [cell, peers] of this.early) {
      if (this.parts.cells.get(cell) === undefined) continue;
      this.early.delete(cell);
      for (const peer of peers) {
        const message: DispatcherMessage = {type: 'resync', cell};
        this.parts.mesh().send(peer, {type: 'to_entry', message});
      }
    }
  }

  onMessage(peer: PeerIdentity, session: number, message: PeerMessage): void {
    const {membership, config, cells, losses, mesh} = this.parts;
    const {instance} = peer;
    match(message)
      .with({type: 'heartbeat'}, ({state, sentAtMs}) => {
        membership.onHeartbeat(peer, state);
        config.onPeerRevision(state.revision);
        for (const [, cell] of cells) cell.onPeerSeen(instance, sentAtMs);
      })
      .with({type: 'goodbye'}, () => {
        membership.view.onGoodbye(instance);
        this.onEnded(instance);
        this.parts.onFleetChange();
      })
      .with({type: 'to_dispatcher'}, ({sentAtMs, message: inner}) =>
        this.toDispatcher(instance, sentAtMs, inner)
      )
      .with({type: 'to_entry'}, ({message: inner}) =>
        cells
          .get(inner.cell)
          ?.onDispatcherMessage({peer: instance, session}, inner)
      )
      .with({type: 'config_request'}, () => {
        if (!config.ready) return;
        const snapshot = config.snapshot();
        mesh().send(instance, {type: 'config_state', snapshot});
      })
      .with({type: 'config_state'}, ({snapshot}) =>
        config.onPeerState(snapshot)
      )
      .with({type: 'loss'}, ({loss}) => losses.note(loss))
      .exhaustive();
  }

  private toDispatcher(
    peer: string,
    sentAtMs: number,
    message: EntryMessage
  ): void {
    const cell = this.parts.cells.get(message.cell);
    if (cell !== undefined) {
      cell.onEntryMessage(peer, sentAtMs, message);
      return;
    }
    const peers = this.early.get(message.cell) ?? new Set<string>();
    peers.add(peer);
    this.early.set(message.cell, peers);
  }

  private onEnded(peer: string): void {
    for (const [, cell] of this.parts.cells) cell.onPeerEnded(peer);
  }
}
