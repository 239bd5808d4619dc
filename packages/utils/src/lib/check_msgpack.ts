/** Messages nest at most a few levels; deeper ones are not ours. */
const MAX_DEPTH = 16;
/** Type of the extension by which msgpackr encodes `undefined`. */
const UNDEFINED_TYPE = 0;
const FIXEXT_1 = 0xd4;

/** What a type's length counts, as the number of values in each item. */
const CONTENT = {bytes: 0, elements: 1, pairs: 2} as const;

/** How the value after a first byte is laid out. */
interface Format {
  /** Number of bytes that hold the length; 0 if the first byte says it. */
  readonly lengthBytes: number;
  readonly length: number;
  readonly valuesPerItem: number;
}

/** The formats whose first byte holds no length. */
const FORMAT_OF_CODE: Readonly<Record<number, Format>> = {
  // nil, false, true
  0xc0: fixed(0),
  0xc2: fixed(0),
  0xc3: fixed(0),
  // bin 8, 16, 32
  0xc4: counted(1),
  0xc5: counted(2),
  0xc6: counted(4),
  // float 32, 64
  0xca: fixed(4),
  0xcb: fixed(8),
  // uint 8, 16, 32, 64
  0xcc: fixed(1),
  0xcd: fixed(2),
  0xce: fixed(4),
  0xcf: fixed(8),
  // int 8, 16, 32, 64
  0xd0: fixed(1),
  0xd1: fixed(2),
  0xd2: fixed(4),
  0xd3: fixed(8),
  // The type of the extension and its one byte.
  [FIXEXT_1]: fixed(2),
  // str 8, 16, 32
  0xd9: counted(1),
  0xda: counted(2),
  0xdb: counted(4),
  // array 16, 32
  0xdc: counted(2, CONTENT.elements),
  0xdd: counted(4, CONTENT.elements),
  // map 16, 32
  0xde: counted(2, CONTENT.pairs),
  0xdf: counted(4, CONTENT.pairs),
};

/** By first byte; undefined for types that no message has. */
const FORMATS = Array.from({length: 256}, (_, first) => formatOf(first));

/** Values left at each open level. Calls do not overlap, so they share it. */
const valuesLeft = new Uint32Array(MAX_DEPTH + 1);

/**
 * Returns whether the bytes are one MessagePack value whose announced lengths
 * its bytes can hold and that does not nest too deeply. A decoder allocates
 * by the announced lengths, so it must not see other bytes from a peer.
 * Extensions other than `undefined` are refused, because msgpackr lets some of
 * them change how later bytes are read.
 *
 * @public
 */
export function isBoundedMsgpack(bytes: Uint8Array): boolean {
  const end = bytes.length;
  let depth = 0;
  let position = 0;
  /** Values announced and not read yet; each takes at least one byte. */
  let pending = 1;
  valuesLeft[0] = 1;
  while (pending > 0) {
    if (pending > end - position) return false;
    while (valuesLeft[depth] === 0) depth -= 1;
    valuesLeft[depth]! -= 1;
    pending -= 1;
    const first = bytes[position]!;
    const format = FORMATS[first];
    if (format === undefined) return false;
    const {lengthBytes, valuesPerItem} = format;
    position += 1;
    if (lengthBytes > end - position) return false;
    if (first === FIXEXT_1 && bytes[position] !== UNDEFINED_TYPE) return false;
    const length =
      lengthBytes === 0
        ? format.length
        : readLength(bytes, position, lengthBytes);
    position += lengthBytes;
    if (length > end - position) return false;
    if (valuesPerItem === CONTENT.bytes) {
      position += length;
      continue;
    }
    depth += 1;
    if (depth > MAX_DEPTH) return false;
    valuesLeft[depth] = length * valuesPerItem;
    pending += length * valuesPerItem;
  }
  return position === end;
}

function readLength(bytes: Uint8Array, start: number, count: number): number {
  let length = 0;
  for (let i = start; i < start + count; i += 1) {
    length = length * 256 + bytes[i]!;
  }
  return length;
}

function formatOf(first: number): Format | undefined {
  if (first <= 0x7f || first >= 0xe0) return fixed(0);
  if (first <= 0x8f) return fixed(first & 0x0f, CONTENT.pairs);
  if (first <= 0x9f) return fixed(first & 0x0f, CONTENT.elements);
  if (first <= 0xbf) return fixed(first & 0x1f);
  return FORMAT_OF_CODE[first];
}

function fixed(length: number, valuesPerItem: number = CONTENT.bytes): Format {
  return {lengthBytes: 0, length, valuesPerItem};
}

function counted(
  lengthBytes: number,
  valuesPerItem: number = CONTENT.bytes
): Format {
  return {lengthBytes, length: 0, valuesPerItem};
}
