/** The fields that all members of error unions have. @public */
export interface ErrorTag {
  readonly kind: string;
  readonly message: string;
  /** Code of the system error behind it, such as `EADDRINUSE`. */
  readonly code?: string;
}

/**
 * Wraps a member of an error union in an `Error`, for code that throws instead
 * of returning a `Result`.
 *
 * @public
 */
export class TaggedError<E extends ErrorTag = ErrorTag> extends Error {
  private constructor(readonly tag: E) {
    super(`${tag.kind}: ${tag.message}`);
    this.name = 'TaggedError';
  }

  get code(): string | undefined {
    return this.tag.code;
  }

  static create<E extends ErrorTag>(tag: E): TaggedError<E> {
    return new TaggedError(tag);
  }
}

/** The message of a thrown value of any type. @public */
export function errorMessage(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
