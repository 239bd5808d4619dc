/**
 * What the gateway needs from the place where it runs. An adapter implements
 * these; the gateway knows no names or formats of any outside system.
 */
import type {FleetConfig, Prompt, PromptPart, Target} from '@applebend/routing';

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
  readonly caller: RawHeaders;
  readonly deadlineMs: number;
  readonly targetId: string;
  /** The customer whose key was checked; undefined on public routes. */
  readonly customer: string | undefined;
  /** Set to continue a stream. */
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number;
}

/** What the head of a target's answer says. @public */
export interface TargetAnswer {
  /** The attempt that it answers; undefined where it does not say. */
  readonly attemptId: string | undefined;
  /** Whether the target vouches for the answer. */
  readonly signed: boolean;
  /** The target says that it did not run the request. */
  readonly notExecuted: boolean;
  /** The body was changed on the way. */
  readonly encoded: boolean;
  /** Headers to pass on to the caller. */
  readonly headers: readonly string[];
}

/** Reads and writes the headers of both sides. @public */
export interface HeaderCodec {
  readCaller(raw: RawHeaders): CallerRequest;
  writeTarget(req: TargetRequest): string[];
  readAnswer(status: number, raw: RawHeaders): TargetAnswer;
}

/** Asks a target about itself, beside the requests. @public */
export interface TargetInspector {
  /** The prompt parts that it keeps; undefined where it does not say. */
  keptParts(target: Target): Promise<readonly PromptPart[] | undefined>;
}

/** Called with each change of what the outside systems hold. @public */
export interface StateEvents {
  /** A newer or first configuration. */
  onConfig(config: FleetConfig): void;
  /** All registered targets; what is missing is gone. */
  onTargets(targets: readonly Target[]): void;
  /** Addresses of peers, the own one perhaps included; it only adds. */
  onPeers(addresses: readonly PeerAddress[]): void;
}

/** Where a peer receives messages. @public */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** How recent the list of targets is. @public */
export interface TargetsStamp {
  /** The same for lists that say the same. */
  readonly key: number;
  /** Since the read that showed it was sent, in milliseconds. */
  readonly ageMs: number;
}

/** Follows the outside systems' state until it is stopped. @public */
export interface StateSource {
  start(events: StateEvents): void;
  stop(): void;
  /** Age in milliseconds of the proof that the configuration is newest. */
  configAgeMs(): number;
  targetsStamp(): TargetsStamp;
  /** A peer read the targets, so that they need not be read here as well. */
  onPeerTargets(stamp: TargetsStamp): void;
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
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  readonly peers: ListenAddress;
  readonly metrics: ListenAddress;
  /** From the stop signal to the forced end. */
  readonly gracePeriodMs: number;
  /** Age of the configuration's proof up to which keyed requests run. */
  readonly keyProofMaxAgeMs: number;
  /** Age of the configuration's proof up to which a request is denied. */
  readonly denyProofMaxAgeMs: number;
  readonly shareWindowMs: number;
  readonly retryBudget: {
    readonly windowMs: number;
    readonly ratio: number;
    readonly minRetries: number;
  };
}
