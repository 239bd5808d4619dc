/** A token by RFC 9110. */
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/**
 * Whether the names of a head, which alternate with the values, may stand there.
 * Node's parser takes a blank for a part of a name.
 *
 * @public
 */
export function hasValidNames(rawHeaders: readonly string[]): boolean {
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (!TOKEN.test(rawHeaders[i])) return false;
  }
  return true;
}

/**
 * Returns the values of all lines with a header.
 *
 * @param rawHeaders - alternating names and values
 * @param header - its name in lower case
 * @public
 */
export function allValues(
  rawHeaders: readonly string[],
  header: string
): string[] {
  const values: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (rawHeaders[i].toLowerCase() === header) values.push(rawHeaders[i + 1]);
  }
  return values;
}
