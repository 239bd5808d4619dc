/** Removes the entry that was added first. @internal */
export function evictOldest(
  collection: Map<string, unknown> | Set<string>
): void {
  for (const key of collection.keys()) {
    collection.delete(key);
    return;
  }
}
