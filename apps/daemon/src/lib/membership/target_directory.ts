import type {TargetView} from '@applebend/core';
import type {ListedInstance} from '@applebend/externals';

/** Where a target accepts requests. @public */
export interface TargetAddress {
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

/** The targets of all services, from the instance list and peers. @public */
export class TargetDirectory {
  private targets = new Map<string, ListedInstance>();
  /** Targets that are leaving; they stay so until the list drops them. */
  private readonly leaving = new Set<string>();

  /** Incremented whenever a target is added, removed, changed or leaving. */
  version = 0;

  private constructor() {}

  static create(): TargetDirectory {
    return new TargetDirectory();
  }

  /** Ids of the targets that are leaving. */
  get leavingIds(): string[] {
    return [...this.leaving];
  }

  onList(instances: readonly ListedInstance[]): void {
    const targets = instances.filter(instance => instance.role === 'target');
    const before = this.contentKey();
    this.targets = new Map(targets.map(target => [target.id, target]));
    for (const target of targets) {
      if (target.state === 'leaving') this.leaving.add(target.id);
    }
    for (const id of this.leaving) {
      if (!this.targets.has(id)) this.leaving.delete(id);
    }
    if (this.contentKey() !== before) this.version += 1;
  }

  /** Adds targets that a peer reports as leaving. */
  addLeavingTargets(ids: Iterable<string>): void {
    for (const id of ids) {
      if (!this.targets.has(id) || this.leaving.has(id)) continue;
      this.leaving.add(id);
      this.version += 1;
    }
  }

  private contentKey(): string {
    const known = [...this.targets.values()].map(
      ({id, service, host, port}) => `${id} ${service} ${host}:${port}`
    );
    return [...known, ...this.leaving].join();
  }

  isLeaving(id: string): boolean {
    return this.leaving.has(id);
  }

  addressOf(id: string): TargetAddress | undefined {
    return this.targets.get(id);
  }

  /** Whether a service has a target that is not leaving. */
  hasAvailableTarget(service: string): boolean {
    return this.viewsOf(service).some(view => !view.leaving);
  }

  /** Returns the targets of one service. */
  viewsOf(service: string): TargetView[] {
    const views: TargetView[] = [];
    for (const {id, service: served} of this.targets.values()) {
      if (served === service) views.push({id, leaving: this.leaving.has(id)});
    }
    return views;
  }
}
