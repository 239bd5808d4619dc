import {sharedBlocksOf} from './prompt.js';

import type {PrefixBlock} from './prompt.js';

/**
 * Blocks that are kept for one target. Callers name the sizes of blocks, and
 * tokens alone do not limit the number of small ones.
 */
const MAX_BLOCKS = 2048;

/**
 * Models which prefix blocks a target has cached: an LRU cache, updated with
 * the prompts that are sent to the target.
 *
 * @public
 */
export class PrefixCache {
  /** Maps a block's id to its tokens, least recently used first. */
  private readonly blocks = new Map<string, number>();
  private usedTokens = 0;

  private constructor(private capacityTokens: number) {}

  static create(capacityTokens: number): PrefixCache {
    return new PrefixCache(capacityTokens);
  }

  /** Changes the size of the modelled cache; evicts blocks if needed. */
  setCapacity(tokens: number): void {
    this.capacityTokens = tokens;
    this.evict();
  }

  /** Returns the tokens of the prompt's longest cached prefix. */
  cachedTokens(blocks: readonly PrefixBlock[]): number {
    let cached = 0;
    for (const block of blocks) {
      if (!this.blocks.has(block.id)) break;
      cached += block.tokens;
    }
    return cached;
  }

  /**
   * Returns whether all blocks but the last are cached; always true for a
   * single block. The last of several blocks belongs to one request only.
   */
  hasSharedBlocks(blocks: readonly PrefixBlock[]): boolean {
    return sharedBlocksOf(blocks).every(({id}) => this.blocks.has(id));
  }

  /** Marks the blocks of a prompt as just used; evicts others if needed. */
  touch(blocks: readonly PrefixBlock[]): void {
    for (const block of blocks) {
      const previousTokens = this.blocks.get(block.id);
      if (previousTokens !== undefined) {
        this.blocks.delete(block.id);
        this.usedTokens -= previousTokens;
      }
      this.blocks.set(block.id, block.tokens);
      this.usedTokens += block.tokens;
    }
    this.evict();
  }

  private get isOverLimit(): boolean {
    if (this.blocks.size > MAX_BLOCKS) return true;
    return this.usedTokens > this.capacityTokens;
  }

  private evict(): void {
    for (const [id, tokens] of this.blocks) {
      if (!this.isOverLimit) return;
      this.blocks.delete(id);
      this.usedTokens -= tokens;
    }
  }
}
