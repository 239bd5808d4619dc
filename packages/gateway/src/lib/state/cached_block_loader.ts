import type {Logger} from '@applebend/telemetry';
import type {TargetInspector} from '../ports.js';
import type {TargetSignalListener} from './target_directory.js';
import type {TargetRecord} from './target_record.js';

/** @internal */
export interface CachedBlockLoaderOptions {
  readonly inspector: TargetInspector;
  readonly log: Logger;
  readonly onSignals: TargetSignalListener;
  /** Whether a target must not be queried now; a later `load` asks again. */
  readonly isSkipped: (record: TargetRecord) => boolean;
}

/** Queries the prefix caches of engines that were not queried yet. @internal */
export class CachedBlockLoader {
  private constructor(private readonly options: CachedBlockLoaderOptions) {}

  static create(options: CachedBlockLoaderOptions): CachedBlockLoader {
    return new CachedBlockLoader(options);
  }

  /** Queries one engine at a time. */
  async load(records: Iterable<TargetRecord>): Promise<void> {
    for (const record of records) {
      if (record.memoryTokens === 0 || record.cachedBlocksRequested) continue;
      if (this.options.isSkipped(record)) continue;
      record.cachedBlocksRequested = true;
      await this.query(record);
    }
  }

  private async query(record: TargetRecord): Promise<void> {
    const {inspector, log, onSignals} = this.options;
    const inspection = await inspector.inspect(record.target);
    if (inspection === undefined) return;
    onSignals(record, inspection.signals);
    const {cachedBlocks} = inspection;
    if (cachedBlocks === undefined) return;
    record.prefixCache.touch(cachedBlocks);
    const {id} = record.target;
    log.info('cached blocks read', {target: id, parts: cachedBlocks.length});
  }
}
