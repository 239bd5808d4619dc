/**
 * A model of which prompt parts a target keeps: a cache of limited size whose
 * least recently used parts yield. Fed by what is sent there.
 */
import type {PrefixBlock} from './prompt.js';

/** @public */
export class PrefixCache {
  /** Part to its tokens, least recently used first. */
  private readonly parts = new Map<string, number>();
  private tokens = 0;

  private constructor(private capacityTokens: number) {}

  static create(capacityTokens: number): PrefixCache {
    return new PrefixCache(capacityTokens);
  }

  setCapacity(tokens: number): void {
    this.capacityTokens = tokens;
    this.evict();
  }

  /** Tokens of the prompt that need no prefill: its longest kept beginning. */
  cachedTokens(parts: readonly PrefixBlock[]): number {
    let cached = 0;
    for (const part of parts) {
      if (!this.parts.has(part.id)) break;
      cached += part.tokens;
    }
    return cached;
  }

  /** Whether it keeps all parts but the last, which no other prompt shares. */
  hasSharedBlocks(parts: readonly PrefixBlock[]): boolean {
    return parts.slice(0, -1).every(({id}) => this.parts.has(id));
  }

  /** Notes a prompt that was sent to the target. */
  touch(parts: readonly PrefixBlock[]): void {
    for (const part of parts) {
      const known = this.parts.get(part.id);
      if (known !== undefined) {
        this.parts.delete(part.id);
        this.tokens -= known;
      }
      this.parts.set(part.id, part.tokens);
      this.tokens += part.tokens;
    }
    this.evict();
  }

  private evict(): void {
    for (const [id, tokens] of this.parts) {
      if (this.tokens <= this.capacityTokens) return;
      this.parts.delete(id);
      this.tokens -= tokens;
    }
  }
}
