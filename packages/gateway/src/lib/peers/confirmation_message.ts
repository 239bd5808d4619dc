import {TARGET_STATE} from '@applebend/routing';
import {pack} from 'msgpackr';
import * as z from 'zod';
import {MESSAGE_KIND} from './wire_rows.js';

import type {EvacuationState, Target} from '@applebend/routing';
import type {ConfirmedState} from '../ports.js';

/** A longer target list is not sent; the requester reads it from the store. */
const MAX_LIST_BYTES = 32 * 1024;
const MAX_PORT = 65_535;

/** Asks a peer which state is the newest. @public */
export interface ConfirmationRequest {
  /** Identifies the request. */
  readonly nonce: number;
  /** Identifies the target list that the requester holds. */
  readonly targetsKey: number;
}

/** The response to one request. @public */
export interface ConfirmationResponse {
  readonly nonce: number;
  readonly state: ConfirmedState;
  /** What the responder holds; undefined if it is an older version. */
  readonly evacuations: EvacuationState | undefined;
}

/** @public */
export function encodeConfirmationRequest({
  nonce,
  targetsKey,
}: ConfirmationRequest): Buffer {
  return pack([MESSAGE_KIND.confirmationRequest, nonce, targetsKey]);
}

/** Returns undefined if the request is malformed. @public */
export function decodeConfirmationRequest(
  wire: readonly unknown[]
): ConfirmationRequest | undefined {
  const [, nonce, targetsKey] = wire;
  if (typeof nonce !== 'number') return undefined;
  if (typeof targetsKey !== 'number') return undefined;
  return {nonce, targetsKey};
}

/**
 * Encodes a response. The target list is left out if the requester holds it
 * already or it is too long.
 *
 * @public
 */
export function encodeConfirmationResponse(
  req: ConfirmationRequest,
  state: ConfirmedState,
  evacuations: EvacuationState | undefined
): Buffer {
  const {configVersion, targetsKey, targets} = state;
  const {storeEra, restoredBefore, targetsAgeMs} = state;
  const head = [
    MESSAGE_KIND.confirmationResponse,
    req.nonce,
    configVersion,
    targetsKey,
  ];
  const end = [
    storeEra,
    restoredBefore,
    Math.ceil(targetsAgeMs),
    encodeEvacuations(evacuations),
  ];
  const withoutList = pack([...head, null, ...end]);
  if (req.targetsKey === targetsKey) return withoutList;
  const bytes = pack([...head, targets, ...end]);
  return bytes.length <= MAX_LIST_BYTES ? bytes : withoutList;
}

/** Says that the state could not be determined now. @public */
export function encodeConfirmationRefusal({
  nonce,
}: ConfirmationRequest): Buffer {
  return pack([MESSAGE_KIND.confirmationRefusal, nonce]);
}

/** Returns the nonce of the request, or undefined if malformed. @public */
export function decodeConfirmationRefusal(
  wire: readonly unknown[]
): number | undefined {
  const [, nonce] = wire;
  return typeof nonce === 'number' ? nonce : undefined;
}

/** Returns undefined if the response is malformed. @public */
export function decodeConfirmationResponse(
  wire: readonly unknown[]
): ConfirmationResponse | undefined {
  const [, nonce, configVersion, targetsKey, list] = wire;
  const [storeEra = 0, restoredBefore = 0, targetsAgeMs = 0, evacuated] =
    wire.slice(5);
  if (typeof nonce !== 'number') return undefined;
  if (typeof configVersion !== 'number') return undefined;
  if (typeof targetsKey !== 'number') return undefined;
  if (typeof storeEra !== 'number') return undefined;
  if (typeof restoredBefore !== 'number') return undefined;
  if (typeof targetsAgeMs !== 'number') return undefined;
  const targets = Array.isArray(list) ? list.map(decodeTarget) : undefined;
  // A list without one of its targets would not be the one that the key names.
  if (targets?.every(isDefined) === false) return undefined;
  const newest = {
    configVersion,
    targetsKey,
    targets: targets?.filter(isDefined),
  };
  const origin = {storeEra, restoredBefore, targetsAgeMs};
  const evacuations = decodeEvacuations(evacuated);
  const hasEvacuations = evacuated !== undefined && evacuated !== null;
  // A malformed state confirms nothing, so the requester reads the store itself.
  if (hasEvacuations && evacuations === undefined) return undefined;
  return {nonce, state: {...newest, ...origin}, evacuations};
}

function encodeEvacuations(state: EvacuationState | undefined): unknown {
  return state ? [state.asOf, state.storeEra, state.domains] : null;
}

/** Returns undefined if they are missing or malformed. */
function decodeEvacuations(wire: unknown): EvacuationState | undefined {
  if (!Array.isArray(wire)) return undefined;
  const [asOf, storeEra, domains] = wire as unknown[];
  if (typeof asOf !== 'number') return undefined;
  if (typeof storeEra !== 'number') return undefined;
  if (!Array.isArray(domains) || !domains.every(isString)) return undefined;
  return {asOf, storeEra, domains};
}

function isString(value: unknown): value is string {
  return typeof value === 'string';
}

const targetSchema = z.object({
  id: z.string(),
  service: z.string(),
  host: z.ipv4(),
  port: z.int().min(1).max(MAX_PORT),
  failureDomain: z.string(),
  /** Older instances send none, as for the cold time. */
  softwareVersion: z.string().default(''),
  slots: z.number(),
  state: z.enum(TARGET_STATE),
  startedAtMs: z.number(),
  registeredAt: z.number(),
  coldLeftMs: z.number().default(0),
});

/** Returns undefined if it describes no usable target. */
function decodeTarget(wire: unknown): Target | undefined {
  return targetSchema.safeParse(wire).data;
}

function isDefined<T>(value: T | undefined): value is T {
  return value !== undefined;
}
