/**
 * The interfaces through which the gateway reaches the platform that it runs
 * on. An adapter implements them, so that the gateway itself is independent of
 * header names, record formats and the store.
 */
import type {
  EvacuationRead,
  FleetConfig,
  Prompt,
  PrefixBlock,
  Target,
  TargetList,
} from '@applebend/routing';
import type {Result} from '@applebend/utils';

/** Alternating header names and values, as received. @public */
export type RawHeaders = readonly string[];

/** The decoded headers of a caller's request. @public */
export interface CallerRequest {
  /** Id of the caller's attempt; a response with another id is rejected. */
  readonly attemptId: string;
  /** Milliseconds that the caller waits, or undefined if it sent no deadline. */
  readonly deadlineMs: number | undefined;
  /** The API key, or undefined if none was sent. */
  readonly apiKey: string | undefined;
  /** Size and prefix blocks of the prompt; set for model calls only. */
  readonly prompt: Prompt | undefined;
  /** Id of the last event of the stream that the caller has received. */
  readonly lastEventId: string | undefined;
  /**
   * Id of the caller's attempt that brought the first event of that stream, or
   * undefined if the caller did not name it.
   */
  readonly firstAttemptId: string | undefined;
}

/** The input for the headers of a request to a target. @public */
export interface TargetRequest {
  readonly method: string;
  readonly callerHeaders: RawHeaders;
  /** Milliseconds that the target has to respond. */
  readonly deadlineMs: number;
  readonly targetId: string;
  /** The customer that the API key belongs to; undefined on public routes. */
  readonly customer: string | undefined;
  /** Id of the event after which the target resumes a stream. */
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number;
}

/** What a target says of itself in a response. @public */
export interface TargetSignals {
  /** Whether it is leaving and is to get no new requests. */
  readonly isLeaving: boolean;
  /** Milliseconds for which it wants no requests; undefined if it says none. */
  readonly pauseMs: number | undefined;
  /**
   * Requests a second that it takes from all instances together; Infinity if it
   * answers a request without naming any, undefined if it says nothing of it.
   */
  readonly limitPerS: number | undefined;
}

/** The decoded headers of a target's response. @public */
export interface TargetResponseHead {
  /** Ids of the attempts that it says to respond to. */
  readonly attemptIds: readonly string[];
  /** Whether the target signed the response, with a single signature. */
  readonly signed: boolean;
  /** Whether the target reports that it did not run the request. */
  readonly notExecuted: boolean;
  /** Whether the body has a content encoding, as added by an intermediary. */
  readonly contentEncoded: boolean;
  readonly signals: TargetSignals;
  /** Alternating names and values of the headers to forward to the caller. */
  readonly headers: readonly string[];
}

/** Decodes and encodes the headers of callers and targets. @public */
export interface HeaderCodec {
  decodeCallerRequest(raw: RawHeaders): CallerRequest;
  encodeTargetRequest(req: TargetRequest): string[];
  decodeTargetResponse(status: number, raw: RawHeaders): TargetResponseHead;
}

/** The response of a target to a query. @public */
export interface TargetInspection {
  /** The blocks in an engine's prefix cache, or undefined if it sent none. */
  readonly cachedBlocks: readonly PrefixBlock[] | undefined;
  readonly signals: TargetSignals;
}

/** Queries targets out of band. @public */
export interface TargetInspector {
  /** Asks for the prefix cache; resolves to undefined without a response. */
  inspect(target: Target): Promise<TargetInspection | undefined>;
}

/**
 * What a state source calls in the gateway. The parent is the peer that this
 * instance asks for confirmations, so that it need not read the store itself.
 *
 * @public
 */
export interface StateSourceCallbacks {
  /** Called with the first configuration and with each newer one. */
  onConfig(config: FleetConfig): void;
  /** Called with what each read of the operator's records showed of evacuations. */
  onEvacuations(read: EvacuationRead): void;
  /** Called with all registered targets; any other target has been removed. */
  onTargets(list: TargetList): void;
  /**
   * Called with listed peers, which may include this instance. Peers that were
   * passed before stay known.
   */
  onPeers(peers: readonly PeerInfo[]): void;
  /** Whether to request a confirmation from the parent before a read. */
  usesPeerConfirmations(): boolean;
  /**
   * Whether this instance has to read the registrations itself, also if peers
   * confirm that the list is unchanged.
   */
  needsRenewals(): boolean;
  /** Whether there is a parent that reads the store for this instance. */
  hasReader(): boolean;
  /**
   * Requests the newest state from the parent. Resolves to undefined if there is
   * no parent or it does not respond.
   *
   * @param targetsKey - key of the target list that this instance holds
   */
  requestConfirmation(targetsKey: number): Promise<ConfirmedState | undefined>;
  /**
   * Fetches the record of the configuration that the parent holds. Resolves to
   * undefined if there is no parent or it sends none in time.
   */
  fetchConfigRecord(): Promise<Buffer | undefined>;
}

/** The address at which a peer receives datagrams. @public */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** A peer as listed by the platform. @public */
export interface PeerInfo extends PeerAddress {
  readonly instance: string;
  readonly failureDomain: string;
  /** Processor capacity in cores. */
  readonly capacity: number;
}

/** The newest state, as shown by a read that began at a known time. @public */
export interface ConfirmedState {
  /** Era of the store that was read; 0 if the store has no eras. */
  readonly storeEra: number;
  readonly configVersion: number;
  /** Hash of the target list; equal for lists with equal contents. */
  readonly targetsKey: number;
  /**
   * The target list; undefined if the requester holds the same one, or if the
   * list is too long for a message.
   */
  readonly targets: readonly Target[] | undefined;
  /** Milliseconds since the read of the target list was sent. */
  readonly targetsAgeMs: number;
  /** See `TargetList`. */
  readonly restoredBefore: number;
}

/** Identity and age of a target list. @public */
export interface TargetListStamp {
  /** Hash of the list; equal for lists with equal contents. */
  readonly key: number;
  /** Milliseconds since the read that returned the list was sent. */
  readonly ageMs: number;
  /** Offset up to which the records were read; undefined if it is not known. */
  readonly next?: number;
}

/** What an instance holds, for its peers to compare with. @public */
export interface HeldState {
  /** Newest known era of the store; 0 if the store has no eras. */
  readonly storeEra: number;
  /** Version of the configuration; 0 without one. */
  readonly configVersion: number;
  /** Whether that version was confirmed as the newest in this era of the store. */
  readonly isConfigConfirmed: boolean;
  /** The target list that this instance read. */
  readonly targetList: TargetListStamp;
}

/** Follows the configuration, the targets and the peers. @public */
export interface StateSource {
  /** Begins to read, and calls back until `stop` is called. */
  start(callbacks: StateSourceCallbacks): void;
  stop(): void;
  /**
   * Milliseconds since the start of the read that last confirmed the
   * configuration as the newest.
   */
  configAgeMs(): number;
  heldState(): HeldState;
  /** The record of the configuration that this instance holds, for peers. */
  configRecord(): Buffer | undefined;
  /**
   * Called with what a peer holds: the store may be in a newer era, it may have
   * a newer configuration, and a read of the target list may be saved here.
   */
  onPeerState(state: HeldState): void;
  /** Milliseconds since the start of a read, here or by a peer, of the same targets. */
  targetsAgeMs(): number;
  /**
   * Milliseconds since the start of the read, here or by the parent, that gave the
   * present list.
   */
  targetsReadAgeMs(): number;
  /**
   * Whether the list of targets is recent enough to send requests by it, see
   * `maxTargetListAgeMs`, or the store is lost and no other one can be had.
   *
   * @param allowanceMs - by which the list may be older; 0 by default
   */
  areTargetsCurrent(allowanceMs?: number): boolean;
  /** Milliseconds for which the store has been lost; 0 while it responds. */
  storeLostMs(): number;
  /** Reads the targets from the store; resolves when the read has ended. */
  refreshTargets(): Promise<void>;
  /**
   * Determines the newest state by a read, here or at the parent, which may have
   * begun shortly before. Resolves to undefined if no read succeeds.
   */
  confirm(): Promise<ConfirmedState | undefined>;
}

/** What instances save to survive a restart of all of them. @public */
export const RECORD_TOPIC = {
  /** Requests that crash targets, by fingerprint. */
  quarantines: 'quarantines',
  /** The software versions at which streams were begun. */
  versions: 'versions',
} as const;

/** @public */
export type RecordTopic = (typeof RECORD_TOPIC)[keyof typeof RECORD_TOPIC];

/** A record of the archive. @public */
export interface ArchivedRecord {
  readonly key: string;
  /** Undefined if the key was removed. */
  readonly value: Buffer | undefined;
}

/** Records of a topic, as many as one read returns. @public */
export interface ArchivedRecords {
  readonly records: readonly ArchivedRecord[];
  /** Offset at which to continue reading. */
  readonly next: number;
  /** Offset after the newest record of the topic. */
  readonly end: number;
}

/** Why a call to the archive failed. @public */
export type ArchiveError =
  | {readonly kind: 'unavailable'; readonly message: string}
  | {
      readonly kind: 'history_gone';
      /** The first offset whose record is retained. */
      readonly first: number;
    };

/** Keyed topics of records that outlast the instances. @public */
export interface RecordArchive {
  /** Reads the newest record of each key. */
  newest(topic: RecordTopic): Promise<Result<ArchivedRecords, ArchiveError>>;
  /** Reads records in the order in which they were appended. */
  read(
    topic: RecordTopic,
    from: number
  ): Promise<Result<ArchivedRecords, ArchiveError>>;
  /** Appends a record; an empty value removes the key. */
  append(
    topic: RecordTopic,
    key: string,
    value: Buffer
  ): Promise<Result<void, ArchiveError>>;
  /** Resolves at the next response, to any call, that shows it available. */
  whenAvailable(): Promise<void>;
  /**
   * Adds a listener that is called when the archive was restored from an older
   * copy, which voids all offsets.
   */
  onRestored(listener: () => void): void;
}

/** An address to listen on. @public */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}
