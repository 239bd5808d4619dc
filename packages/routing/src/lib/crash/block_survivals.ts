import {evictOldest} from './evict_oldest.js';

interface Survival {
  /** Monotonic milliseconds. */
  readonly atMs: number;
  /** Whether the peers know of this one, or of one shortly before. */
  readonly isShared: boolean;
}

/** Bounds the memory; the blocks that ran longest ago are evicted first. */
const MAX_BLOCKS = 20_000;
/** A survival this soon after one that the peers know is no news to them. */
const SAME_SURVIVAL_MS = 500;

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

  /** @param isShared - whether the peers know of it */
  add(block: string, atMs: number, isShared: boolean): void {
    const known = this.survivals.get(block);
    if (known !== undefined) {
      const isSame = known.isShared && atMs - known.atMs < SAME_SURVIVAL_MS;
      if (isSame || atMs <= known.atMs) return;
    }
    this.survivals.delete(block);
    this.survivals.set(block, {atMs, isShared});
    if (this.survivals.size > MAX_BLOCKS) evictOldest(this.survivals);
  }

  /** Those of some blocks that the peers do not know; they do from now on. */
  takeUnshared(blocks: readonly string[]): string[] {
    const unshared: string[] = [];
    for (const block of blocks) {
      const known = this.survivals.get(block);
      if (known === undefined || known.isShared) continue;
      this.survivals.set(block, {...known, isShared: true});
      unshared.push(block);
    }
    return unshared;
  }
}
