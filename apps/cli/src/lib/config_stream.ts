import {randomUUID} from 'node:crypto';
import {INITIAL_CONFIG_STATE} from '@applebend/core';
import {
  CONFIG_STREAM,
  HttpLogClient,
  readConfigPage,
} from '@applebend/externals';
import {fail, ok, sleep} from '@applebend/utils';

import type {
  ChangeOutcome,
  ConfigChange,
  ConfigDiff,
  ConfigState,
} from '@applebend/core';
import type {Result} from '@applebend/utils';
import type {ToolError} from './command_result.js';
import type {ToolSettings} from './tool_settings.js';

const OUTCOME_TIMEOUT_MS = 8000;
const POLL_MS = 150;

/** Reads and publishes the configuration on the log. @public */
export class ConfigStream {
  private readonly log: HttpLogClient;

  private constructor(settings: ToolSettings) {
    this.log = HttpLogClient.create({
      baseUrl: settings.log_url,
      timeoutMs: settings.log_timeout_ms,
    });
  }

  static create(settings: ToolSettings): ConfigStream {
    return new ConfigStream(settings);
  }

  /** Reads the stream to its end and returns the resulting state. */
  async read(): Promise<Result<ConfigState, ToolError>> {
    let state = INITIAL_CONFIG_STATE;
    for (;;) {
      const read = await readConfigPage(this.log, state, 0);
      if (!read.ok) {
        return fail({kind: 'log_unavailable', message: read.err.message});
      }
      state = read.value.state;
      if (read.value.caughtUp) return ok(state);
    }
  }

  /**
   * Publishes a change to the revision `base` and returns its outcome. If the
   * append gets no response, the change is looked up by its id and never sent
   * again.
   */
  async publish(
    base: number,
    author: string,
    diff: ConfigDiff
  ): Promise<Result<ChangeOutcome, ToolError>> {
    const changeId = randomUUID();
    const change: ConfigChange = {
      type: 'change',
      changeId,
      base,
      author,
      upserts: diff.upserts,
      removals: diff.removals,
    };
    const appended = await this.log.append(CONFIG_STREAM, change);
    if (!appended.ok && appended.err.kind !== 'append_unknown') {
      const {message} = appended.err;
      return fail({kind: 'log_unavailable', message});
    }
    return this.waitForOutcome(changeId);
  }

  private async waitForOutcome(
    changeId: string
  ): Promise<Result<ChangeOutcome, ToolError>> {
    const deadlineMs = performance.now() + OUTCOME_TIMEOUT_MS;
    while (performance.now() < deadlineMs) {
      const state = await this.read();
      const outcome = state.ok
        ? state.value.outcomes.find(
            candidate => candidate.changeId === changeId
          )
        : undefined;
      if (outcome !== undefined) return ok(outcome);
      await sleep(POLL_MS);
    }
    const message = `change ${changeId}: the log does not say what became of it`;
    return fail({kind: 'change_unknown', message});
  }
}
