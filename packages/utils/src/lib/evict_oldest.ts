/** Removes the entry that was added first. @public */
export function evictOldest<T>(collection: Map<T, unknown> | Set<T>): void {
  for (const key of collection.keys()) {
    collection.delete(key);
    return;
  }
}
