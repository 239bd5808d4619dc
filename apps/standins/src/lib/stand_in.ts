import {StandInServer} from './stand_in_server.js';

import type {
  ServerOptions,
  StandInRequest,
  StandInResponse,
} from './stand_in_server.js';

/** A stand-in that handles the requests of a server of its own. @internal */
export abstract class StandIn {
  private standIn!: StandInServer;

  get server(): StandInServer {
    return this.standIn;
  }

  /** Starts the server; resolves with this stand-in once it listens. */
  protected async listen(options: ServerOptions): Promise<this> {
    this.standIn = await StandInServer.create(options, request =>
      this.handle(request)
    );
    return this;
  }

  /** Returns `undefined` if it writes the response itself. */
  protected abstract handle(
    request: StandInRequest
  ): Promise<StandInResponse | undefined>;
}
