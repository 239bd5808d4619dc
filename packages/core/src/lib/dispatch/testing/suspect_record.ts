import type {DispatcherMessage, EntryMessage} from '../dispatch_types.js';

/**
 * Records which requests the dispatchers may hold as suspects of a target's
 * loss: those granted a slot on the target before its loss was reported. They
 * run apart from each other, so a slot may stay free while they wait.
 */
export class SuspectRecord {
  /** The target on which each request was last granted a slot. */
  private readonly lastTargets = new Map<string, string>();
  private readonly targetsByGrant = new Map<string, string>();
  private readonly suspects = new Set<string>();

  private constructor() {}

  static create(): SuspectRecord {
    return new SuspectRecord();
  }

  onGrant(grant: Extract<DispatcherMessage, {type: 'grant'}>): void {
    this.lastTargets.set(grant.requestId, grant.target);
    this.targetsByGrant.set(grant.grantId, grant.target);
  }

  /**
   * Marks all requests last granted on a target as suspects when its loss is
   * reported, however late the report is.
   */
  onEntryMessage(message: EntryMessage): void {
    if (message.type !== 'finished' || message.outcome !== 'target_lost')
      return;
    const lost = this.targetsByGrant.get(message.grantId);
    for (const [requestId, target] of this.lastTargets) {
      if (target === lost) this.suspects.add(requestId);
    }
  }

  isSuspect(requestId: string): boolean {
    return this.suspects.has(requestId);
  }
}
