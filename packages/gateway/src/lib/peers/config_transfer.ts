import http from 'node:http';
import {errorMessage, receiveAll, startInternalServer} from '@applebend/utils';

import type {Logger} from '@applebend/telemetry';
import type {PortOptions} from '@applebend/utils';
import type {PeerAddress} from '../ports.js';

const CONFIG_PATH = '/configuration';
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
/** Time in which a peer has to send its configuration. */
const FETCH_TIMEOUT_MS = 700;
/** A longer configuration is read from the store. */
const MAX_RECORD_BYTES = 1024 * 1024;

/**
 * Serves the record of the configuration that this instance holds, over HTTP on
 * the port on which its datagrams arrive. Resolves when the port is open.
 *
 * @param record - returns the record, or undefined if none is held
 * @public
 */
export function startConfigServer(
  port: PortOptions,
  record: () => Buffer | undefined
): Promise<http.Server> {
  return startInternalServer(port, async (req, res) => {
    const bytes = req.url === CONFIG_PATH ? record() : undefined;
    const status = bytes === undefined ? STATUS_NOT_FOUND : STATUS_OK;
    res.writeHead(status, {'Content-Length': bytes?.length ?? 0});
    res.end(bytes);
  });
}

/**
 * Fetches the record of the configuration that a peer holds; resolves to
 * undefined if it sends none in time.
 *
 * @public
 */
export async function fetchConfigRecord(
  {host, port}: PeerAddress,
  log: Logger
): Promise<Buffer | undefined> {
  const signal = AbortSignal.timeout(FETCH_TIMEOUT_MS);
  try {
    return await get({host, port, path: CONFIG_PATH, agent: false, signal});
  } catch (err) {
    log.warn('no configuration from peer', {host, cause: errorMessage(err)});
    return undefined;
  }
}

/** Resolves to undefined for any status but 200. */
async function get(options: http.RequestOptions): Promise<Buffer | undefined> {
  const {res, body} = await receiveAll(http.get(options), MAX_RECORD_BYTES);
  return res.statusCode === STATUS_OK ? body : undefined;
}
