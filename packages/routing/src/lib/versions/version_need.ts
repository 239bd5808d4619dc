/** Where a request may run, by the software version of the targets. @public */
export type VersionNeed =
  | {readonly kind: 'any'}
  /** It resumes a stream, which is known to have begun at this version. */
  | {readonly kind: 'exact'; readonly version: string}
  /** It resumes an unknown stream of a service that had only this version. */
  | {readonly kind: 'inferred'; readonly version: string}
  /** It resumes a stream, and it is not known where that began. */
  | {readonly kind: 'unknown'}
  /** As `unknown`, but the journal that may tell has not been read yet. */
  | {readonly kind: 'pending'}
  /** As `unknown`, but the list of targets may lack a version that has joined. */
  | {readonly kind: 'unconfirmed'};

/** What is known of a stream that a caller resumes. @public */
export interface ResumedStream {
  /** Version at which its attempt began; undefined if that is not known. */
  readonly version: string | undefined;
  /** Versions at which streams of its service may have begun. */
  readonly serviceVersions: readonly string[];
  /** Whether a version that left before this start would be among them. */
  readonly isHistoryKnown: boolean;
  /** Whether the journal has been read completely, or need not be read. */
  readonly isJournalRead: boolean;
  /** Whether the list of targets was read after the stream broke. */
  readonly isListCurrent: boolean;
}

/** Decides where a stream that a caller resumes may continue. @public */
export function resumedVersionNeed({
  version,
  serviceVersions,
  isHistoryKnown,
  isJournalRead,
  isListCurrent,
}: ResumedStream): VersionNeed {
  if (version !== undefined) return {kind: 'exact', version};
  // One version in the list of targets proves nothing: the others may have left
  // while this instance was down.
  if (!isJournalRead) return {kind: 'pending'};
  const isSingle = serviceVersions.length === 1 && isHistoryKnown;
  if (!isSingle) return {kind: 'unknown'};
  // An instance that hears no peers may not know where a stream began that
  // began at a version which joined after it read the list.
  if (!isListCurrent) return {kind: 'unconfirmed'};
  return {kind: 'inferred', version: serviceVersions[0]};
}
