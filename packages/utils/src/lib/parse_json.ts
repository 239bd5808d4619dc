/**
 * Parses bytes as JSON. Returns undefined if that fails: callers check the
 * result against a schema, which undefined does not meet.
 *
 * @public
 */
export function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'));
  } catch {
    return undefined;
  }
}
