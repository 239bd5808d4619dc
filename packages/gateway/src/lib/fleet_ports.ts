import {startReadinessServer} from './front/readiness_server.js';
import {startMetricsServer} from './metrics/metrics_server.js';
import {startConfigServer} from './peers/config_transfer.js';

import type http from 'node:http';
import type {PortLog, PortOptions} from '@applebend/utils';
import type {ListenAddress} from './ports.js';
import type {GatewaySettings} from './settings.js';

/** What the ports of an instance, but for its callers', serve. @public */
export interface FleetPortsOptions {
  readonly settings: GatewaySettings;
  readonly log: PortLog;
  /** Ends the wait for a port. */
  readonly stopSignal: AbortSignal | undefined;
  /** Opens the port for datagrams; its user may start then. */
  startPeers(port: PortOptions): Promise<void>;
  /** The record of the configuration that this instance holds. */
  configRecord(): Buffer | undefined;
  isReady(): boolean;
  metricsText(): Promise<string>;
}

/**
 * The ports for the balancer, peers and scrapers. A port that is in use is waited
 * for.
 *
 * @public
 */
export class FleetPorts {
  private readonly servers: http.Server[] = [];

  private constructor(private readonly options: FleetPortsOptions) {}

  static create(options: FleetPortsOptions): FleetPorts {
    return new FleetPorts(options);
  }

  /** Waits for all of them together; one that fails ends the wait for others. */
  async open(): Promise<void> {
    const {settings, ...options} = this.options;
    const failure = new AbortController();
    const port = (purpose: string, address: ListenAddress) =>
      this.portOptions(purpose, address, failure.signal);
    const opened = [
      options.startPeers(port('peers', settings.peers)),
      this.keep(
        startConfigServer(port('configuration', settings.peers), () =>
          options.configRecord()
        )
      ),
      this.keep(
        startReadinessServer(port('readiness', settings.readiness), () =>
          options.isReady()
        )
      ),
      this.keep(
        startMetricsServer(port('metrics', settings.metrics), () =>
          options.metricsText()
        )
      ),
    ];
    try {
      await Promise.all(opened);
    } catch (err) {
      failure.abort();
      await Promise.allSettled(opened);
      throw err;
    }
  }

  /** How to open a port of this instance. */
  portOptions(
    purpose: string,
    address: ListenAddress,
    failureSignal?: AbortSignal
  ): PortOptions {
    const {log, stopSignal} = this.options;
    const signals = [stopSignal, failureSignal].flatMap(s => s ?? []);
    return {
      ...address,
      purpose,
      log,
      stopSignal: AbortSignal.any(signals),
    };
  }

  /** Closes the servers that were opened; the datagrams have their own owner. */
  close(): void {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  private async keep(server: Promise<http.Server>): Promise<void> {
    this.servers.push(await server);
  }
}
