import {resolveCustomer} from '@applebend/core';
import {CellTask} from './cell_task.js';

import type {
  FleetConfig,
  TargetLoss,
  PolicyName,
  QueueRules,
  ServiceConfig,
  SlotSettings,
} from '@applebend/core';
import type {BusyMeter, Clock} from '@applebend/utils';
import type {PeerMesh} from '../peers/peer_mesh.js';

/** @public */
export interface CellRegistryOptions {
  readonly instance: string;
  readonly incarnation: string;
  readonly policy: PolicyName;
  /** Lease of a grant, from the entry's last message before it. */
  readonly leaseMs: number;
  readonly mesh: () => PeerMesh;
  readonly clock: Clock;
  readonly busyMeter: BusyMeter;
  readonly config: () => FleetConfig;
}

/** Rules for a customer or class that is not in the configuration here yet. */
const DEFAULT_QUEUE_RULES: QueueRules = {
  share: 1,
  maxQueued: 64,
  priority: 5,
  short: false,
  maxWaitMs: 60_000,
};

/** The cells of all services in the configuration. @public */
export class CellRegistry {
  private readonly cells = new Map<string, CellTask>();

  private constructor(private readonly options: CellRegistryOptions) {}

  static create(options: CellRegistryOptions): CellRegistry {
    return new CellRegistry(options);
  }

  get(service: string): CellTask | undefined {
    return this.cells.get(service);
  }

  *[Symbol.iterator](): Generator<[string, CellTask]> {
    yield* this.cells;
  }

  /**
   * Creates cells for new services and updates the slots of the others. New
   * cells get the losses that were reported before they existed.
   */
  onConfig(knownLosses: readonly TargetLoss[]): void {
    for (const [name, service] of Object.entries(
      this.options.config().services
    )) {
      const cell = this.cells.get(name);
      if (cell !== undefined) {
        cell.setSlots(slotSettings(service));
        continue;
      }
      const created = this.createCell(name, service);
      for (const loss of knownLosses) created.onLoss(loss);
      this.cells.set(name, created);
    }
  }

  private createCell(name: string, service: ServiceConfig): CellTask {
    const {instance, incarnation, policy, leaseMs, mesh, clock, busyMeter} =
      this.options;
    return CellTask.create({
      cell: name,
      instance,
      incarnation,
      policy,
      leaseMs,
      mesh,
      clock,
      busyMeter,
      slots: slotSettings(service),
      rulesOf: (customer, className) => this.rulesOf(customer, className),
    });
  }

  private rulesOf(customer: string, className: string): QueueRules {
    const resolved = resolveCustomer(this.options.config(), customer);
    const cls = resolved?.template.classes.find(c => c.name === className);
    if (resolved === undefined || cls === undefined) {
      return DEFAULT_QUEUE_RULES;
    }
    const {share, maxQueued} = resolved;
    const {priority, short, maxWaitMs} = cls;
    return {share, maxQueued, priority, short, maxWaitMs};
  }
}

function slotSettings(service: ServiceConfig): SlotSettings {
  return {
    limits: {
      startSlots: service.slots,
      maxSlots: service.maxSlots ?? service.slots,
      firstTokenTargetMs: service.firstTokenTargetMs,
      betweenTokensTargetMs: service.betweenTokensTargetMs,
    },
    shortCallSlots: service.shortCallSlots,
  };
}
