/** How the era of a response compares with the newest known one. @public */
export const ERA_ORDER = {
  older: 'older',
  current: 'current',
  newer: 'newer',
} as const;

/** One of the orders of eras. @public */
export type EraOrder = (typeof ERA_ORDER)[keyof typeof ERA_ORDER];

/**
 * The newest known era of the store. It rises whenever the store is restored
 * from an older copy; whatever was derived from an earlier era, such as an
 * offset, is then void.
 *
 * @public
 */
export class StoreEra {
  private newest = 0;

  private constructor() {}

  static create(): StoreEra {
    return new StoreEra();
  }

  /** The newest known era; 0 if the store has not named any. */
  get current(): number {
    return this.newest;
  }

  /**
   * Records an era seen in a response, or heard from a peer. The first one that
   * is seen counts as current, since nothing was derived from an earlier one.
   */
  observe(era: number): EraOrder {
    if (era < this.newest) return ERA_ORDER.older;
    if (era === this.newest) return ERA_ORDER.current;
    const isFirst = this.newest === 0;
    this.newest = era;
    return isFirst ? ERA_ORDER.current : ERA_ORDER.newer;
  }
}
