import {match} from 'ts-pattern';

import type {DispatcherMessage, EntryMessage} from '@applebend/core';
import type {PeerIdentity, PeerMessage} from '@applebend/protocol';
import type {CellRegistry} from '../cells/cell_registry.js';
import type {ConfigTask} from '../config/config_task.js';
import type {LossTask} from '../losses/loss_task.js';
import type {MembershipTask} from '../membership/membership_task.js';
import type {PeerMesh} from './peer_mesh.js';

/** @public */
export interface PeerEventHandlerOptions {
  readonly membership: MembershipTask;
  readonly config: ConfigTask;
  readonly cells: CellRegistry;
  readonly losses: LossTask;
  readonly mesh: () => PeerMesh;
  /** Called when the view of the fleet may have changed. */
  readonly onFleetChange: () => void;
}

/** Passes link events and messages of peers to the tasks. @public */
export class PeerEventHandler {
  /** Latest incarnation of each peer that has been linked. */
  private readonly incarnations = new Map<string, string>();
  /** Cells not in the configuration here yet, and peers that addressed them. */
  private readonly peersOfUnknownCells = new Map<string, Set<string>>();

  private constructor(private readonly options: PeerEventHandlerOptions) {}

  static create(options: PeerEventHandlerOptions): PeerEventHandler {
    return new PeerEventHandler(options);
  }

  /** Returns undefined if the peer has never been linked. */
  incarnationOf(peer: string): string | undefined {
    return this.incarnations.get(peer);
  }

  /**
   * Sends the peer what it may have missed. A new incarnation shows that the
   * peer's previous process has ended.
   */
  onLinkUp({instance, incarnation}: PeerIdentity): void {
    const {membership, config, losses, mesh} = this.options;
    const previous = this.incarnations.get(instance);
    this.incarnations.set(instance, incarnation);
    if (previous !== undefined && previous !== incarnation)
      this.onPeerEnded(instance);
    membership.sendHeartbeat();
    for (const loss of losses.knownLosses)
      mesh().send(instance, {type: 'loss', loss});
    if (!config.ready) mesh().send(instance, {type: 'config_request'});
  }

  onLinkDown({instance}: PeerIdentity): void {
    this.options.membership.view.onLinkLost(instance);
    for (const [, cell] of this.options.cells) cell.onPeerDown(instance);
    this.options.onFleetChange();
  }

  /** Requests a sync from peers whose messages arrived before their cell. */
  resyncUnknownCells(): void {
    for (const [cell, peers] of this.peersOfUnknownCells) {
      if (this.options.cells.get(cell) === undefined) continue;
      this.peersOfUnknownCells.delete(cell);
      for (const peer of peers) {
        const message: DispatcherMessage = {type: 'resync', cell};
        this.options.mesh().send(peer, {type: 'to_entry', message});
      }
    }
  }

  onMessage(peer: PeerIdentity, session: number, message: PeerMessage): void {
    const {membership, config, cells, losses, mesh} = this.options;
    const {instance} = peer;
    match(message)
      .with({type: 'heartbeat'}, ({state, sentAtMs}) => {
        membership.onHeartbeat(peer, state);
        config.onPeerRevision(state.revision);
        for (const [, cell] of cells) cell.onPeerSeen(instance, sentAtMs);
      })
      .with({type: 'goodbye'}, () => {
        membership.view.onGoodbye(instance);
        this.onPeerEnded(instance);
        this.options.onFleetChange();
      })
      .with({type: 'to_dispatcher'}, ({sentAtMs, message: inner}) =>
        this.forwardToDispatcher(instance, sentAtMs, inner)
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
      .with({type: 'loss'}, ({loss}) => losses.addLoss(loss))
      .exhaustive();
  }

  /**
   * Drops a message for a cell that is not in the configuration here yet; its
   * sender gets a `resync` message once the cell exists.
   */
  private forwardToDispatcher(
    peer: string,
    sentAtMs: number,
    message: EntryMessage
  ): void {
    const cell = this.options.cells.get(message.cell);
    if (cell !== undefined) {
      cell.onEntryMessage(peer, sentAtMs, message);
      return;
    }
    const peers =
      this.peersOfUnknownCells.get(message.cell) ?? new Set<string>();
    peers.add(peer);
    this.peersOfUnknownCells.set(message.cell, peers);
  }

  private onPeerEnded(peer: string): void {
    for (const [, cell] of this.options.cells) cell.onPeerEnded(peer);
  }
}
