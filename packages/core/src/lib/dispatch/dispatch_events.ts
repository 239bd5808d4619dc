/** What a dispatcher takes in, gives out and is made from. */
import type {TargetLoss} from '../crash/crash_tracker.js';
import type {
  DispatcherMessage,
  EntryMessage,
  QueueRules,
  TargetView,
} from './dispatch_types.js';
import type {Policy} from './policy.js';
import type {SlotSettings} from './slot_table.js';

/** Looks up the rules for a customer's class. @public */
export type RulesLookup = (customer: string, className: string) => QueueRules;

/** What happens to a dispatcher. @public */
export type DispatchEvent =
  | {
      readonly type: 'entry_message';
      readonly entry: string;
      /** The entry's own monotonic clock when it sent the message. */
      readonly sentAtMs: number;
      readonly message: EntryMessage;
    }
  | {
      readonly type: 'entry_seen';
      readonly entry: string;
      readonly sentAtMs: number;
    }
  | {readonly type: 'entry_silent'; readonly entry: string}
  | {readonly type: 'entry_ended'; readonly entry: string}
  | {readonly type: 'routers'; readonly routers: readonly string[]}
  | {readonly type: 'targets'; readonly targets: readonly TargetView[]}
  | {readonly type: 'settings'; readonly slots: SlotSettings}
  | {readonly type: 'loss'; readonly loss: TargetLoss}
  | {readonly type: 'tick'};

/** A message for one entry. @public */
export interface DispatchCommand {
  readonly entry: string;
  readonly message: DispatcherMessage;
}

/** What a dispatcher is made from. @public */
export interface DispatcherOptions {
  readonly cell: string;
  /** Distinguishes this dispatcher's grants from those of earlier lives. */
  readonly incarnation: string;
  readonly policy: Policy;
  readonly slots: SlotSettings;
  readonly rulesOf: RulesLookup;
  readonly leaseMs: number;
  /** The wall clock, by which losses are told from each other. */
  readonly wallMs: () => number;
}

/** Figures of a dispatcher, for metrics and the status page. @public */
export interface DispatcherStats {
  readonly queued: number;
  readonly held: number;
  readonly ghosts: number;
  readonly usableSlots: number;
  readonly fairnessGap: number;
  readonly fairnessBound: number;
  readonly fairnessViolations: number;
  readonly overLimit: number;
}
