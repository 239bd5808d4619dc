import {errorMessage} from '@applebend/utils';

import type {LogFields} from './logger.js';

/** Returns the log fields of anything that was thrown. @internal */
export function describeError(err: unknown): LogFields {
  if (!(err instanceof Error)) return {message: errorMessage(err)};
  const {message, stack} = err;
  return {message, code: (err as NodeJS.ErrnoException).code, stack};
}
