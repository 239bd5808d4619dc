import {stallTimeoutMs} from '@applebend/routing';
import {BufferedRelay} from './buffered_relay.js';
import {StreamRelay} from './stream_relay.js';

import type http from 'node:http';
import type {Route} from '@applebend/routing';
import type {Contain} from '@applebend/utils';
import type {FleetState} from '../state/fleet_state.js';
import type {TargetResponse} from '../upstream/target_call.js';

/** What became of a forwarded response. @public */
export interface ResponseRelayEvents {
  /** Called when the response is complete and forwarded. */
  onDone(status: number): void;
  /** Called if the response, or the stream, ends early. */
  onAborted(message: string): void;
  /** Called when events of a stream arrived. */
  onEvents(): void;
  /** Called when a stream has stalled; it stays attached. */
  onStall(): void;
  /** Wraps the handlers of events. */
  readonly contain: Contain;
}

/** Content type of a stream; a response that names none may be one. */
const EVENT_STREAM = 'text/event-stream';

/**
 * Forwards the responses of targets to one request: a stream event by event, and
 * over several targets if it is resumed; any other response in one piece.
 *
 * @public
 */
export class ResponseRelay {
  private stream: StreamRelay | undefined;

  private constructor(
    private readonly res: http.ServerResponse,
    private readonly route: Route,
    private readonly state: FleetState,
    private readonly events: ResponseRelayEvents
  ) {}

  static create(
    res: http.ServerResponse,
    route: Route,
    state: FleetState,
    events: ResponseRelayEvents
  ): ResponseRelay {
    return new ResponseRelay(res, route, state, events);
  }

  /** Id of the last event that was forwarded. */
  get lastEventId(): string | undefined {
    return this.stream?.lastEventId;
  }

  isStream({status, res}: TargetResponse): boolean {
    if (!this.route.streaming || status >= 300) return false;
    const {'content-type': type = EVENT_STREAM} = res.headers;
    return type.toLowerCase().startsWith(EVENT_STREAM);
  }

  /**
   * Whether a response can be forwarded. Once a stream has begun, nothing but
   * more of the stream can, whatever the status.
   */
  canForward(response: TargetResponse): boolean {
    return this.stream === undefined || this.isStream(response);
  }

  forward(response: TargetResponse): void {
    if (this.isStream(response)) this.forwardStream(response);
    else this.forwardBody(response);
  }

  /** Stops reading a stream; a new response may go on with it. */
  detach(): void {
    this.stream?.detach();
  }

  private forwardStream(response: TargetResponse): void {
    const {events, route} = this;
    const {status} = response;
    this.stream ??= StreamRelay.create(this.res, {
      stallTimeoutMs: stallTimeoutMs(route.eventGapTargetMs),
      onDone: () => events.onDone(status),
      onAborted: message => events.onAborted(message),
      onEvents: () => events.onEvents(),
      onStall: () => events.onStall(),
      contain: events.contain,
    });
    this.stream.attach(response, this.state.closesConnections);
  }

  private forwardBody(response: TargetResponse): void {
    const {events, state} = this;
    const bufferedEvents = {
      onDone: () => events.onDone(response.status),
      onAborted: () => events.onAborted('response ended early'),
    };
    BufferedRelay.create(
      response,
      this.res,
      state.closesConnections,
      bufferedEvents,
      state.responseMemory.claim(),
      events.contain
    );
  }
}
