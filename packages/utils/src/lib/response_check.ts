/** A response that is not valid; nothing that it says may be used. @public */
export interface InvalidResponse {
  readonly kind: 'invalid_response';
  readonly message: string;
}
