import {rendezvousPick} from '@applebend/core';

import type {Policy, TargetView} from '@applebend/core';

/** The fleet as this instance sees it. @public */
export interface FleetView {
  /** Instances that are eligible as dispatchers. */
  readonly candidates: readonly string[];
  /** Instances that may own slots. */
  readonly slotOwners: readonly string[];
  readonly targets: readonly TargetView[];
  /** Whether the heartbeats of another instance arrive. */
  isAlive(id: string): boolean;
  /** Whether it sent a goodbye, or is neither listed nor alive. */
  isGone(id: string): boolean;
}

/** Returns the instances that share the slots of a cell's targets. @public */
export function slotSharers(
  view: FleetView,
  scope: Policy['scope'],
  instance: string
): readonly string[] {
  if (scope === 'cell') return view.slotOwners;
  // If each entry is its own dispatcher, only live ones share the slots.
  return view.slotOwners.filter(id => id === instance || view.isAlive(id));
}

/**
 * Returns the instance that dispatches a cell for the entry of `instance`, or
 * undefined if no instance is eligible.
 *
 * @public
 */
export function dispatcherOf(
  cell: string,
  view: FleetView,
  scope: Policy['scope'],
  instance: string
): string | undefined {
  if (scope === 'entry') return instance;
  return rendezvousPick(cell, view.candidates);
}
