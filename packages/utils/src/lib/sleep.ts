/** Resolves after a delay, or earlier if the signal is aborted. @public */
export function sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) return resolve();
    const done = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', done);
      resolve();
    };
    const timer = setTimeout(done, delayMs);
    signal?.addEventListener('abort', done);
  });
}
