/** The least that every member of an error union carries. @public */
export interface ErrorTag {
  readonly kind: string;
  readonly message: string;
}

/**
 * Carries a member of a tagged error union through code that can only throw.
 *
 * @public
 */
export class TaggedError<E extends ErrorTag = ErrorTag> extends Error {
  private constructor(readonly tag: E) {
    super(`${tag.kind}: ${tag.message}`);
    this.name = 'TaggedError';
  }

  static create<E extends ErrorTag>(tag: E): TaggedError<E> {
    return new TaggedError(tag);
  }
}

/** The readable text of anything that was thrown. @public */
export function errorMessage(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
