import type {TargetLoss} from '@applebend/routing';
import type {
  DispatcherMessage,
  EntryMessage,
  QueueRules,
  TargetView,
} from './dispatch_types.js';
import type {Policy} from './policy.js';
import type {SlotSettings} from './slot_table.js';

/** Returns the queueing rules of a customer's request class. @public */
export type RulesLookup = (customer: string, className: string) => QueueRules;

/** An input of a dispatcher. @public */
export type DispatchEvent =
  | {
      readonly type: 'entry_message';
      readonly entry: string;
      /** The entry's monotonic clock when it sent the message. */
      readonly sentAtMs: number;
      readonly message: EntryMessage;
    }
  /** A heartbeat of an entry; its new grants are leased from `sentAtMs` on. */
  | {
      readonly type: 'entry_seen';
      readonly entry: string;
      readonly sentAtMs: number;
    }
  /** The link to an entry is lost; its requests may still be running. */
  | {readonly type: 'entry_silent'; readonly entry: string}
  /** An entry's process has ended, and its requests with it. */
  | {readonly type: 'entry_ended'; readonly entry: string}
  /**
   * The routers that may own slots, by instance id. A router's entry is
   * identified by the same id.
   */
  | {readonly type: 'routers'; readonly routers: readonly string[]}
  /** All targets of the cell. */
  | {readonly type: 'targets'; readonly targets: readonly TargetView[]}
  /** New slot settings. */
  | {readonly type: 'settings'; readonly slots: SlotSettings}
  /** A request was running on a target when the target was lost. */
  | {readonly type: 'loss'; readonly loss: TargetLoss}
  /** Evicts the state of inactive customers; sent periodically. */
  | {readonly type: 'tick'};

/** Sends a message to one entry. @public */
export interface DispatchCommand {
  readonly entry: string;
  readonly message: DispatcherMessage;
}

/** Options of a dispatcher. @public */
export interface DispatcherOptions {
  /** Name of the cell, which is that of its service. */
  readonly cell: string;
  /** Makes grant ids unique across restarts of the process. */
  readonly incarnation: string;
  readonly policy: Policy;
  readonly slots: SlotSettings;
  readonly rulesOf: RulesLookup;
  /** Lifetime of an unused grant, from the entry's latest message on. */
  readonly leaseMs: number;
  /** The wall clock, to tell apart the losses of one target by their time. */
  readonly wallMs: () => number;
}

/** Statistics of a dispatcher, for metrics and the status page. @public */
export interface DispatcherStats {
  /** Waiting requests. */
  readonly queued: number;
  /** Granted slots that entries hold. */
  readonly held: number;
  /** Orphaned slots: the link to the entry is lost, the request may run. */
  readonly ghosts: number;
  /** Slots that this dispatcher may grant, free or in use. */
  readonly usableSlots: number;
  /** Largest gap so far, in weighted tokens per share. */
  readonly fairnessGap: number;
  /** The bound at the time of that gap. */
  readonly fairnessBound: number;
  /** Checks at which the gap exceeded the bound. */
  readonly fairnessViolations: number;
  /** Starts that put a target over its limit. */
  readonly overLimit: number;
}
