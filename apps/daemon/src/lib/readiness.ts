/** The sources of the data that a request needs. @public */
export interface ReadinessSources {
  readonly config: {readonly ready: boolean};
  readonly membership: {readonly listRead: boolean};
  readonly losses: {readonly ready: boolean};
}

/**
 * Whether this instance has the data that requests need, and whether it still
 * takes new callers.
 *
 * @public
 */
export class Readiness {
  private isDraining = false;

  private constructor(private readonly sources: ReadinessSources) {}

  static create(sources: ReadinessSources): Readiness {
    return new Readiness(sources);
  }

  get draining(): boolean {
    return this.isDraining;
  }

  /** Whether this instance has all the data that a request needs. */
  get canServe(): boolean {
    return this.missingPrerequisites().length === 0;
  }

  /** Whether this instance may dispatch cells. */
  get canDispatch(): boolean {
    return this.canServe && !this.isDraining;
  }

  /** Returns why this instance should get no new callers; empty if it may. */
  unreadiness(): string[] {
    const reasons = this.missingPrerequisites();
    if (this.isDraining) reasons.push('draining');
    return reasons;
  }

  startDraining(): void {
    this.isDraining = true;
  }

  /** Returns a reason for each kind of data that was not read yet. */
  private missingPrerequisites(): string[] {
    const {config, membership, losses} = this.sources;
    const reasons: string[] = [];
    if (!config.ready) reasons.push('configuration not caught up');
    if (!membership.listRead) reasons.push('instance list not read');
    if (!losses.ready) reasons.push('losses not read');
    return reasons;
  }
}
