const MAX_PREFIXES = 64;
/** Characters of a prompt that count as its prefix. */
const PREFIX_LENGTH = 64;
/** Fraction of the prefill that a cached prefix saves. */
const CACHED_FRACTION = 0.8;

/** The prefixes of the prompts that an engine ran last. @public */
export class PromptCache {
  /** The least recently used prefix comes first. */
  private readonly prefixes = new Set<string>();

  private constructor() {}

  static create(): PromptCache {
    return new PromptCache();
  }

  /**
   * Puts the prompt's prefix into the cache. Returns the fraction of the prompt
   * that still has to be read.
   */
  use(prompt: string): number {
    const prefix = prompt.slice(0, PREFIX_LENGTH);
    const isCached = this.prefixes.delete(prefix);
    this.prefixes.add(prefix);
    for (const oldest of this.prefixes) {
      if (this.prefixes.size <= MAX_PREFIXES) break;
      this.prefixes.delete(oldest);
    }
    return isCached ? 1 - CACHED_FRACTION : 1;
  }
}
