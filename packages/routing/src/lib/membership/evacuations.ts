/** The evacuated failure domains, as a peer passes them on. @public */
export interface EvacuationState {
  readonly domains: readonly string[];
  /** Offset up to which the operator's records were read. */
  readonly asOf: number;
  /** Era of the store that was read; 0 if the store has no eras. */
  readonly storeEra: number;
}

/** What a read of the operator's records showed of evacuations. @public */
export interface EvacuationRead {
  /** Failure domain to whether its record was written, or removed. */
  readonly changes: ReadonlyMap<string, boolean>;
  /** Whether any other domain has no record; otherwise it has not changed. */
  readonly isComplete: boolean;
  readonly asOf: number;
  readonly storeEra: number;
}

/** The domains whose evacuation began or ended. @public */
export interface EvacuationChanges {
  readonly begun: readonly string[];
  readonly ended: readonly string[];
}

/**
 * After the store was restored from a copy, evacuations that the copy lacks are
 * kept this long. What the copy lacks is written again within 2 s, and an
 * instance that a parent confirms sees that up to 1.6 s later.
 */
const KEEP_AFTER_RESTORE_MS = 4000;

const NO_CHANGES: EvacuationChanges = {begun: [], ended: []};

/**
 * The failure domains that the operator has evacuated, so that their targets get
 * no new requests. Reads may arrive in any order: what shows an earlier state of
 * the operator's records than the one held changes nothing.
 *
 * @public
 */
export class Evacuations {
  /** Domain to whether its record was seen in the present era. */
  private readonly domains = new Map<string, boolean>();
  private asOf = -Infinity;
  private storeEra = -Infinity;
  private keptUntilMs = -Infinity;

  private constructor() {}

  static create(): Evacuations {
    return new Evacuations();
  }

  /** Whether the operator's records have been read at least once. */
  get isKnown(): boolean {
    return this.asOf >= 0;
  }

  /** Number of evacuated domains. */
  get count(): number {
    return this.domains.size;
  }

  /**
   * The state for peers; undefined before the first read. It leaves out what is
   * only kept for a while after a restore, since peers decide that themselves.
   */
  get state(): EvacuationState | undefined {
    if (!this.isKnown) return undefined;
    const {asOf, storeEra} = this;
    const seen = [...this.domains].filter(([, isSeen]) => isSeen);
    return {domains: seen.map(([domain]) => domain), asOf, storeEra};
  }

  has(domain: string): boolean {
    return this.domains.has(domain);
  }

  /** Applies the state that a peer holds. */
  onState(
    {domains, asOf, storeEra}: EvacuationState,
    nowMs: number
  ): EvacuationChanges {
    const changes = new Map(domains.map(domain => [domain, true]));
    return this.onRead({changes, isComplete: true, asOf, storeEra}, nowMs);
  }

  /** Applies a read, unless it shows an older state than the one held. */
  onRead(read: EvacuationRead, nowMs: number): EvacuationChanges {
    const {storeEra, asOf} = read;
    if (storeEra < this.storeEra) return NO_CHANGES;
    if (storeEra === this.storeEra && asOf < this.asOf) return NO_CHANGES;
    if (storeEra > this.storeEra) this.onNewEra(nowMs);
    this.storeEra = storeEra;
    this.asOf = asOf;
    return {begun: this.begin(read), ended: this.end(read, nowMs)};
  }

  private onNewEra(nowMs: number): void {
    this.keptUntilMs = nowMs + KEEP_AFTER_RESTORE_MS;
    for (const domain of this.domains.keys()) this.domains.set(domain, false);
  }

  private begin({changes}: EvacuationRead): string[] {
    const begun: string[] = [];
    for (const [domain, isWritten] of changes) {
      if (!isWritten) continue;
      if (!this.domains.has(domain)) begun.push(domain);
      this.domains.set(domain, true);
    }
    return begun;
  }

  private end({changes, isComplete}: EvacuationRead, nowMs: number): string[] {
    const ended: string[] = [];
    for (const [domain, isSeen] of this.domains) {
      const isWritten = changes.get(domain);
      if (isWritten === true) continue;
      const isMissing = isSeen ? isComplete : nowMs >= this.keptUntilMs;
      if (isWritten === undefined && !isMissing) continue;
      this.domains.delete(domain);
      ended.push(domain);
    }
    return ended;
  }
}
