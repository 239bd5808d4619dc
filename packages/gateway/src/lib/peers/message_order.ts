/** How a message compares with those received before from its sender. @public */
export const MESSAGE_ORDER = {
  /** One received earlier is at least as new. */
  stale: 'stale',
  /** The first one of the sender's incarnation. */
  started: 'started',
  newer: 'newer',
} as const;

/** One of the orders of messages. @public */
export type MessageOrder = (typeof MESSAGE_ORDER)[keyof typeof MESSAGE_ORDER];
