import {evictOldest} from '@applebend/utils';

interface Survival {
  /** Monotonic milliseconds. */
  readonly atMs: number;
  /** The latest one that the peers know; -Infinity if they know none. */
  readonly sharedAtMs: number;
}

/** Bounds the memory; the blocks that ran longest ago are evicted first. */
const MAX_BLOCKS = 20_000;
/** A block that ran this shortly before a loss did not cause it. */
const RECENT_SURVIVAL_MS = 1000;

/**
 * When targets last wrote on each block of prompts and lived on. A block that
 * crashes targets has no such time after it began to.
 *
 * @public
 */
export class BlockSurvivals {
  /** By block, the latest ones last. */
  private readonly survivals = new Map<string, Survival>();

  private constructor() {}

  static create(): BlockSurvivals {
    return new BlockSurvivals();
  }

  /** Monotonic milliseconds of the latest one; -Infinity if none is known. */
  lastAtMs(block: string): number {
    return this.survivals.get(block)?.atMs ?? -Infinity;
  }

  /** Whether a block has run since a loss, or shortly before it. */
  clears(block: string, lostAtMs: number): boolean {
    return isCleared(this.lastAtMs(block), lostAtMs);
  }

  /** @param isShared - whether the peers know of it */
  add(block: string, atMs: number, isShared: boolean): void {
    const known = this.survivals.get(block);
    const sharedAtMs = Math.max(
      known?.sharedAtMs ?? -Infinity,
      isShared ? atMs : -Infinity
    );
    this.survivals.delete(block);
    const lastAtMs = Math.max(known?.atMs ?? -Infinity, atMs);
    this.survivals.set(block, {atMs: lastAtMs, sharedAtMs});
    if (this.survivals.size > MAX_BLOCKS) evictOldest(this.survivals);
  }

  /**
   * Whether the peers should hear that a block ran: they suspect it of a loss,
   * and do not know of the latest time. They count as told afterwards.
   */
  takeNews(block: string, lostAtMs: number): boolean {
    const known = this.survivals.get(block);
    if (known === undefined || known.atMs <= known.sharedAtMs) return false;
    if (isCleared(known.sharedAtMs, lostAtMs)) return false;
    this.survivals.set(block, {...known, sharedAtMs: known.atMs});
    return true;
  }
}

function isCleared(ranAtMs: number, lostAtMs: number): boolean {
  return ranAtMs + RECENT_SURVIVAL_MS >= lostAtMs;
}
