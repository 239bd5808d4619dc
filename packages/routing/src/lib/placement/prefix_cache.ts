/**
 * A model of which prompt parts a target keeps: a cache of limited size whose
 * least recently used parts yield. Fed by what is sent there.
 */
import type {PrefixBlock} from './prompt.js';

/** @public */
export class PrefixCache {
  /** Part to its tokens, least recently used first. */
  private readonly blocks = new Map<string, number>();
  private usedTokens = 0;

  private constructor(private capacityTokens: number) {}

  static create(capacityTokens: number): PrefixCache {
    return new PrefixCache(capacityTokens);
  }

  setCapacity(tokens: number): void {
    this.capacityTokens = tokens;
    this.evict();
  }

  /** Tokens of the prompt that need no prefill: its longest kept beginning. */
  cachedTokens(blocks: readonly PrefixBlock[]): number {
    let cached = 0;
    for (const block of blocks) {
      if (!this.blocks.has(block.id)) break;
      cached += block.tokens;
    }
    return cached;
  }

  /** Whether it keeps all parts but the last, which no other prompt shares. */
  hasSharedBlocks(blocks: readonly PrefixBlock[]): boolean {
    return blocks.slice(0, -1).every(({id}) => this.blocks.has(id));
  }

  /** Notes a prompt that was sent to the target. */
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

  private evict(): void {
    for (const [id, tokens] of this.blocks) {
      if (this.usedTokens <= this.capacityTokens) return;
      this.blocks.delete(id);
      this.usedTokens -= tokens;
    }
  }
}
