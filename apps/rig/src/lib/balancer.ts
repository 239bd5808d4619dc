import type {Fleet} from './fleet.js';

const POLL_MS = 100;

/**
 * A stand-in for the platform's load balancer: polls the readiness check of
 * every router and marks in the fleet which ones accept callers.
 */
export class Balancer {
  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly fleet: Fleet) {
    this.timer = setInterval(() => this.poll(), POLL_MS);
  }

  static create(fleet: Fleet): Balancer {
    return new Balancer(fleet);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private poll(): void {
    for (const [index, router] of this.fleet.routers.entries()) {
      router.isReady().then(
        ready => this.fleet.setAccepting(index, ready),
        () => this.fleet.setAccepting(index, false)
      );
    }
  }
}
