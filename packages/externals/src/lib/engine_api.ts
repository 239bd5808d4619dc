import {parseJson} from '@applebend/utils';
import {z} from 'zod';

/** Assumed if the caller sets no limit on output tokens. */
const DEFAULT_MAX_TOKENS = 1024;

const chatRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z
    .array(z.looseObject({role: z.string(), content: z.unknown()}))
    .min(1),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().optional(),
});

const usageSchema = z.looseObject({
  id: z.string().optional(),
  usage: z.looseObject({
    prompt_tokens: z.number(),
    completion_tokens: z.number(),
  }),
});

/**
 * The path of model calls. Engines speak the OpenAI chat format; only this file
 * and `engine_stream.ts` depend on it.
 *
 * @public
 */
export const CHAT_COMPLETIONS_PATH = '/v1/chat/completions';

/** The parts of a model call that routing and accounting use. @public */
export interface ChatCall {
  readonly model: string;
  readonly stream: boolean;
  /** The limit on output tokens, or a default if the caller sets none. */
  readonly maxTokens: number;
  /** The start of the first message; calls with the same one prefer one target. */
  readonly promptPrefix: string;
}

/** Token counts that an engine reports for a call. @public */
export interface EngineUsage {
  readonly inputTokens: number;
  readonly outputTokens: number;
}

/** Length of `promptPrefix`, in UTF-16 code units of the message's JSON. */
const PROMPT_PREFIX_LENGTH = 256;

/** Parses a model call, or returns why the body is not one. @public */
export function parseChatCall(
  body: Uint8Array
): {ok: true; call: ChatCall} | {ok: false; reason: string} {
  const parsed = chatRequestSchema.safeParse(parseJson(body));
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return {ok: false, reason: `${issue?.path.join('.')}: ${issue?.message}`};
  }
  const {model, stream, max_tokens: maxTokens, messages} = parsed.data;
  const promptPrefix = JSON.stringify(messages[0]).slice(
    0,
    PROMPT_PREFIX_LENGTH
  );
  return {
    ok: true,
    call: {
      model,
      stream: stream ?? false,
      maxTokens: maxTokens ?? DEFAULT_MAX_TOKENS,
      promptPrefix,
    },
  };
}

/**
 * Parses the usage in the body of a response that is not streamed, or returns
 * undefined if there is none.
 *
 * @public
 */
export function parseUsage(body: Uint8Array): EngineUsage | undefined {
  const parsed = usageSchema.safeParse(parseJson(body));
  if (!parsed.success) return undefined;
  const {prompt_tokens: inputTokens, completion_tokens: outputTokens} =
    parsed.data.usage;
  return {inputTokens, outputTokens};
}

/** The path that resumes a stream after its first `tokens` tokens. @public */
export function streamResumePath(streamId: string, tokens: number): string {
  return `/v1/streams/${encodeURIComponent(streamId)}?after=${tokens}`;
}
