/**
 * The engines' wire format: the OpenAI chat format. Everything that would
 * change for another engine stands in this file and in `engine_stream.ts`.
 */
import {z} from 'zod';

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

/** The path of model calls. @public */
export const CHAT_COMPLETIONS_PATH = '/v1/chat/completions';

/** What the fleet needs to know of a model call. @public */
export interface ChatCall {
  readonly model: string;
  readonly stream: boolean;
  readonly maxTokens: number;
  /** The text that calls with a common prompt prefix share. */
  readonly promptPrefix: string;
}

/** Tokens that an engine says it used. @public */
export interface EngineUsage {
  readonly inputTokens: number;
  readonly outputTokens: number;
}

const PROMPT_PREFIX_LENGTH = 256;

/** Reads a model call from a request body; a string says what is wrong. */
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

/** Reads the usage from an answer that was not streamed. @public */
export function parseUsage(body: Uint8Array): EngineUsage | undefined {
  const parsed = usageSchema.safeParse(parseJson(body));
  if (!parsed.success) return undefined;
  const {prompt_tokens: inputTokens, completion_tokens: outputTokens} =
    parsed.data.usage;
  return {inputTokens, outputTokens};
}

/** The path that continues a stream after a number of tokens. @public */
export function streamResumePath(streamId: string, tokens: number): string {
  return `/v1/streams/${encodeURIComponent(streamId)}?after=${tokens}`;
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'));
  } catch {
    return undefined;
  }
}
