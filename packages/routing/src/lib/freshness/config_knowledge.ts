/** When confirmations of the configuration count. @public */
export interface ConfigKnowledgeOptions {
  /** Monotonic milliseconds at which this instance started. */
  readonly startedAtMs: number;
  /** Whether the whole fleet starts for the first time. */
  readonly isFleetBootstrap: boolean;
}

/**
 * An instance that started waits this long for what its peers hold. Without any
 * peer it has to rely on the store alone afterwards.
 */
const PEER_WAIT_MS = 700;
/**
 * After the store was restored from a copy, what the copy lacks is written again
 * within this time. Until then the store may lack a version that nobody read.
 */
const RESTORE_SETTLE_MS = 2000;
/** Era of a store that was never restored. */
const FIRST_ERA = 1;

/**
 * What is known of the newest version of the configuration. A store that was
 * restored from a copy can show an older one for a moment. A read confirms the
 * held configuration only if the store shows a version that is as new as any
 * that this instance or one of its peers ever held.
 *
 * @public
 */
export class ConfigKnowledge {
  /** Newest version that the store has shown in this era. */
  private storeVersion = -Infinity;
  /** Newest version that this instance or a peer has held. */
  private newestVersion = -Infinity;
  private hasHeardPeer = false;
  private settledAtMs = -Infinity;
  private hasSeenEra = false;
  /** Whether a restore before the start may not have settled, unless a peer knows. */
  private awaitsPeer = false;

  private constructor(private readonly options: ConfigKnowledgeOptions) {}

  static create(options: ConfigKnowledgeOptions): ConfigKnowledge {
    return new ConfigKnowledge(options);
  }

  /** Records a version that the store showed. */
  onStoreVersion(version: number): void {
    this.storeVersion = Math.max(this.storeVersion, version);
    this.newestVersion = Math.max(this.newestVersion, version);
  }

  /**
   * Records the version that a peer holds.
   *
   * @param isConfirmed - whether a read that was sent after the restore settled
   *     confirmed that version in this era
   */
  onPeerVersion(version: number, isConfirmed: boolean): void {
    this.hasHeardPeer = true;
    this.newestVersion = Math.max(this.newestVersion, version);
    if (!isConfirmed || !this.awaitsPeer) return;
    this.awaitsPeer = false;
    this.settledAtMs = -Infinity;
  }

  /**
   * Called with the era of each response before it decides anything. An instance
   * that starts beside a restored store cannot tell when that was, so the restore
   * counts as new until a peer knows better.
   */
  onEra(era: number, nowMs: number): void {
    if (this.hasSeenEra) return;
    this.hasSeenEra = true;
    if (era <= FIRST_ERA || this.options.isFleetBootstrap) return;
    this.awaitsPeer = true;
    this.settledAtMs = nowMs + RESTORE_SETTLE_MS;
  }

  /** Called when the store was restored from a copy: it may show less now. */
  onNewEra(nowMs: number): void {
    this.storeVersion = -Infinity;
    this.hasSeenEra = true;
    this.awaitsPeer = false;
    this.settledAtMs = nowMs + RESTORE_SETTLE_MS;
  }

  /**
   * Returns whether a read that began at `sentAtMs` and showed nothing newer
   * confirms the newest version that the store has shown.
   */
  confirms(sentAtMs: number, nowMs: number): boolean {
    if (this.storeVersion < this.newestVersion) return false;
    return sentAtMs >= this.settledAtMs && this.knowsPeers(nowMs);
  }

  /** Returns whether no newer version is known than this one. */
  isNewest(version: number): boolean {
    return version >= this.newestVersion;
  }

  private knowsPeers(nowMs: number): boolean {
    const {startedAtMs, isFleetBootstrap} = this.options;
    if (this.hasHeardPeer || isFleetBootstrap) return true;
    return nowMs - startedAtMs >= PEER_WAIT_MS;
  }
}
