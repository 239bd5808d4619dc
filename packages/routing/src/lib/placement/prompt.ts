/** What is known of a model call before it runs. */

/** A part of a prompt that several requests share. @public */
export interface PrefixBlock {
  readonly id: string;
  readonly tokens: number;
}

/** The size of a model call and the parts of its prompt, in order. @public */
export interface Prompt {
  readonly prefixBlocks: readonly PrefixBlock[];
  readonly inputTokens: number;
  /** The client's estimate, or else the most that it allows. */
  readonly outputTokens: number;
}

/** Weight of an output token against an input token in a customer's service. */
const OUTPUT_WEIGHT = 2;

/** The service that a call uses, in weighted tokens. @public */
export function weightedTokensOf(prompt: Prompt): number {
  return prompt.inputTokens + OUTPUT_WEIGHT * prompt.outputTokens;
}

/**
 * The part that names the prompt's session: the last one belongs to the
 * request itself where others come before it.
 *
 * @public
 */
export function sessionOf(prompt: Prompt): string | undefined {
  return (prompt.prefixBlocks.at(-2) ?? prompt.prefixBlocks.at(-1))?.id;
}
