/** The cells of all services in the configuration, made and kept up to date. */
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

/** What the registry is made from. @public */
export interface CellRegistryParts {
  readonly instance: string;
  readonly incarnation: string;
  readonly policy: PolicyName;
  readonly leaseMs: number;
  readonly mesh: () => PeerMesh;
  readonly clock: Clock;
  readonly busy: BusyMeter;
  readonly config: () => FleetConfig;
}

/** Rules for a customer that this instance does not know yet. */
const UNKNOWN_CUSTOMER_RULES: QueueRules = {
  share: 1,
  maxQueued: 64,
  priority: 5,
  short: false,
  maxWaitMs: 60_000,
};

/** @public */
export class CellRegistry {
  private readonly cells = new Map<string, CellTask>();

  private constructor(private readonly parts: CellRegistryParts) {}

  static create(parts: CellRegistryParts): CellRegistry {
    return new CellRegistry(parts);
  }

  get(service: string): CellTask | undefined {
    return this.cells.get(service);
  }

  *[Symbol.iterator](): Generator<[string, CellTask]> {
    yield* this.cells;
  }

  /** Makes the cells of new services and updates the others. */
  onConfig(knownLosses: readonly TargetLoss[]): void {
    for (const [name, service] of Object.entries(
      this.parts.config().services
    )) {
      const cell = this.cells.get(name);
      if (cell !== undefined) {
        cell.setSlots(slotSettings(service));
        continue;
      }
      const made = this.make(name, service);
      for (const loss of knownLosses) made.onLoss(loss);
      this.cells.set(name, made);
    }
  }

  private make(name: string, service: ServiceConfig): CellTask {
    const {instance, incarnation, policy, leaseMs, mesh, clock, busy} =
      this.parts;
    return CellTask.create({
      cell: name,
      instance,
      incarnation,
      policy,
      leaseMs,
      mesh,
      clock,
      busy,
      slots: slotSettings(service),
      rulesOf: (customer, className) => this.rulesOf(customer, className),
    });
  }

  private rulesOf(customer: string, className: string): QueueRules {
    const resolved = resolveCustomer(this.parts.config(), customer);
    const cls = resolved?.template.classes.find(c => c.name === className);
    if (resolved === undefined || cls === undefined) {
      return UNKNOWN_CUSTOMER_RULES;
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
