/**
 * What the gateway needs from the place where it runs. An adapter implements
 * these; the gateway knows no names or formats of any outside system.
 */
import type {
  FleetConfig,
  Prompt,
  PrefixBlock,
  Target,
} from '@applebend/routing';

/** Header names and values in turn, as they came. @public */
export type RawHeaders = readonly string[];

/** What a caller says of a request, decoded. Times in milliseconds. @public */
export interface CallerRequest {
  /** Names this attempt; an answer that names another one is not its own. */
  readonly attemptId: string;
  /** How long the caller waits; undefined where it did not say. */
  readonly deadlineMs: number | undefined;
  /** The API key, if any was sent. */
  readonly apiKey: string | undefined;
  /** Set for model calls. */
  readonly prompt: Prompt | undefined;
  /** The last event that the caller has of this stream. */
  readonly lastEventId: string | undefined;
}

/** What is sent to a target beside the caller's own headers. @public */
export interface TargetRequest {
  readonly method: string;
  readonly callerHeaders: RawHeaders;
  readonly deadlineMs: number;
  readonly targetId: string;
  /** The customer whose key was checked; undefined on public routes. */
  readonly customer: string | undefined;
  /** Set to continue a stream. */
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number;
}

/** What the head of a target's answer says. @public */
export interface TargetResponseHead {
  /** The attempt that it answers; undefined where it does not say. */
  readonly attemptId: string | undefined;
  /** Whether the target vouches for the answer. */
  readonly signed: boolean;
  /** The target says that it did not run the request. */
  readonly notExecuted: boolean;
  /** The body was changed on the way. */
  readonly contentEncoded: boolean;
  /** Headers to pass on to the caller. */
  readonly headers: readonly string[];
}

/** Reads and writes the headers of both sides. @public */
export interface HeaderCodec {
  decodeCallerRequest(raw: RawHeaders): CallerRequest;
  encodeTargetRequest(req: TargetRequest): string[];
  decodeTargetResponse(status: number, raw: RawHeaders): TargetResponseHead;
}

/** Asks a target about itself, beside the requests. @public */
export interface TargetInspector {
  /** The prompt parts that it keeps; undefined where it does not say. */
  fetchCachedBlocks(
    target: Target
  ): Promise<readonly PrefixBlock[] | undefined>;
}

/** Called with each change of what the outside systems hold. @public */
export interface StateSourceCallbacks {
  /** A newer or first configuration. */
  onConfig(config: FleetConfig): void;
  /** All registered targets; what is missing is gone. */
  onTargets(targets: readonly Target[]): void;
  /** Listed peers, the own one perhaps included; it only adds. */
  onPeers(peers: readonly PeerInfo[]): void;
  /** Whether a peer is asked for proofs before the outside systems are read. */
  usesPeerConfirmations(): boolean;
  /**
   * What such a peer says is newest; undefined where none answers.
   *
   * @param targetsKey - names the list that is held
   */
  requestConfirmation(targetsKey: number): Promise<ConfirmedState | undefined>;
}

/** Where a peer receives messages. @public */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** A peer as the outside systems list it. @public */
export interface PeerInfo extends PeerAddress {
  readonly instance: string;
  readonly failureDomain: string;
  /** Processor share in cores. */
  readonly capacity: number;
}

/** The newest state. @public */
export interface ConfirmedState {
  readonly configVersion: number;
  /** The same for lists of targets that say the same. */
  readonly targetsKey: number;
  /** The list itself; undefined where whoever asked holds the same. */
  readonly targets: readonly Target[] | undefined;
}

/** How recent the list of targets is. @public */
export interface TargetListStamp {
  /** The same for lists that say the same. */
  readonly key: number;
  /** Since the read that showed it was sent, in milliseconds. */
  readonly ageMs: number;
}

/** Follows the outside systems' state until it is stopped. @public */
export interface StateSource {
  start(events: StateSourceCallbacks): void;
  stop(): void;
  /** Age in milliseconds of the proof that the configuration is newest. */
  configAgeMs(): number;
  targetListStamp(): TargetListStamp;
  /** A peer read the targets, so that they need not be read here as well. */
  onPeerTargetList(stamp: TargetListStamp): void;
  /**
   * Learns which state is newest, by a read or a peer's that begins after the
   * call; undefined where it cannot.
   */
  confirm(): Promise<ConfirmedState | undefined>;
}

/** An address to listen on. @public */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** The settings of one gateway. Times in milliseconds. @public */
export interface GatewaySettings {
  readonly instance: string;
  readonly failureDomain: string;
  /** Processor share in cores. */
  readonly capacity: number;
  /** Peers to begin with; they may be gone. */
  readonly seeds: readonly PeerAddress[];
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  readonly peers: ListenAddress;
  readonly metrics: ListenAddress;
  /** Whether no instance ran before, so that targets keep nothing yet. */
  readonly isFleetBootstrap: boolean;
  /** Open connections of callers above which answers close theirs. */
  readonly maxCallerConnections: number;
  /** From the stop signal to the forced end. */
  readonly shutdownGraceMs: number;
  /** Age of the configuration's proof up to which keyed requests run. */
  readonly maxConfigAgeForKeyedMs: number;
  /** Age of the configuration's proof up to which a request is denied. */
  readonly maxConfigAgeForDenialMs: number;
  readonly shareWindowMs: number;
  readonly retryBudget: {
    readonly windowMs: number;
    readonly ratio: number;
    readonly minRetries: number;
  };
}
