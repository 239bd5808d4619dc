/** `mute`: all notices of an instance are lost; `loss`: some of all instances. */
export type Fault = 'store' | 'link' | 'mute' | 'freeze' | 'loss';

/** Faults that last for a time, of the store, of all or of one instance. */
export class JournalFaults {
  private readonly endsAtMs = new Map<string, number>();

  begin(fault: Fault, instance: string, endsAtMs: number): void {
    this.endsAtMs.set(`${fault} ${instance}`, endsAtMs);
  }

  has(fault: Fault, instance: string, nowMs: number): boolean {
    return (this.endsAtMs.get(`${fault} ${instance}`) ?? 0) > nowMs;
  }

  hasAny(nowMs: number): boolean {
    return [...this.endsAtMs.values()].some(endsAtMs => endsAtMs > nowMs);
  }
}
