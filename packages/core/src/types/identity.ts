/** Identifies one version of one model. */
export interface ModelVersion {
  readonly model: string;
  readonly version: string;
}

/**
 * Identifies one run of an entry process; every restart gets a new incarnation.
 */
export interface MemberId {
  readonly host: string;
  readonly incarnation: string;
}

/**
 * Formats a model version as `model@version`, the form used in logs, metrics
 * and tokens.
 *
 * @example
 * ```ts
 * formatModelVersion({model: 'quick', version: 'v3'}); // 'quick@v3'
 * ```
 */
export function formatModelVersion(value: ModelVersion): string {
  return `${value.model}@${value.version}`;
}

/**
 * Parses the output of {@link formatModelVersion}.
 *
 * @returns undefined when the model or the version is missing.
 * @example
 * ```ts
 * parseModelVersion('quick@v3'); // {model: 'quick', version: 'v3'}
 * ```
 */
export function parseModelVersion(text: string): ModelVersion | undefined {
  const at = text.lastIndexOf('@');
  if (at <= 0 || at === text.length - 1) return undefined;
  return {model: text.slice(0, at), version: text.slice(at + 1)};
}

/** Returns true when both arguments identify the same model version. */
export function isSameModelVersion(a: ModelVersion, b: ModelVersion): boolean {
  return a.model === b.model && a.version === b.version;
}
