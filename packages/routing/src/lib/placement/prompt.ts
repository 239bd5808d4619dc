/** A block of a prompt, the unit of the prefix cache. @public */
export interface PrefixBlock {
  readonly id: string;
  readonly tokens: number;
}

/** The prompt of a model request, as described by its headers. @public */
export interface Prompt {
  /** In order; if there are several, the last belongs to this request only. */
  readonly prefixBlocks: readonly PrefixBlock[];
  readonly inputTokens: number;
  /** The caller's estimate if it gives one, otherwise the most it allows. */
  readonly outputTokens: number;
}

/** Weight of an output token relative to an input token. */
const OUTPUT_WEIGHT = 2;

/** Returns the weighted tokens of a request, the unit of usage. @public */
export function weightedTokensOf(prompt: Prompt): number {
  return prompt.inputTokens + OUTPUT_WEIGHT * prompt.outputTokens;
}

/**
 * Returns the blocks that other prompts may have, too: all but the last.
 *
 * @public
 */
export function sharedBlocksOf(blocks: readonly PrefixBlock[]): PrefixBlock[] {
  return blocks.slice(0, -1);
}

/**
 * Returns the id of the block that identifies the prompt's session, or
 * undefined if there are no blocks. It is the last but one, or the only one.
 *
 * @public
 */
export function sessionOf(prompt: Prompt): string | undefined {
  return (prompt.prefixBlocks.at(-2) ?? prompt.prefixBlocks.at(-1))?.id;
}
