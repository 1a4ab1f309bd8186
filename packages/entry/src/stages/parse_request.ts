import {RouterError} from '@anvilrudder/core';
import {z} from 'zod';
import type {Settings} from '../config/settings_schema.js';
import type {GenerateBody} from './caller_request.js';

const MAX_NAME_LENGTH = 64;
const MAX_IDEMPOTENCY_KEY_LENGTH = 128;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]+$/;

const NAME_SCHEMA = z.string().min(1).max(MAX_NAME_LENGTH);

const GENERATE_BODY_SCHEMA = z.strictObject({
  kind: NAME_SCHEMA,
  prompt: z.string().min(1),
  maxTokens: z.number().int().positive().optional(),
  session: z.string().min(1).optional(),
  deadlineMs: z.number().int().positive().optional(),
  model: NAME_SCHEMA.optional(),
  version: NAME_SCHEMA.optional(),
});

/**
 * Parses and validates the body of `POST /v1/generate`. The token count and the
 * deadline are reduced to the limits of the settings.
 *
 * @throws RouterError `invalid_json`, or `invalid_request` with a message that
 *     lists every invalid field.
 * @example
 * ```ts
 * parseGenerateBody('{"kind":"icebreaker","prompt":"Hi"}', settings).kind;
 * ```
 */
export function parseGenerateBody(
  text: string,
  settings: Settings,
): GenerateBody {
  const result = GENERATE_BODY_SCHEMA.safeParse(parseJson(text));
  if (!result.success) {
    throw createInvalidRequestError(formatIssues(result.error.issues));
  }
  const body = result.data;
  if ((body.model === undefined) !== (body.version === undefined)) {
    throw createInvalidRequestError('model and version go together');
  }
  const {maxTokens, maxDeadlineMs} = settings.requests;
  return {
    kind: body.kind,
    prompt: body.prompt,
    maxTokens: Math.min(body.maxTokens ?? maxTokens, maxTokens),
    sessionToken: body.session,
    deadlineMs:
      body.deadlineMs === undefined
        ? undefined
        : Math.min(body.deadlineMs, maxDeadlineMs),
    model: body.model,
    version: body.version,
  };
}

/**
 * Validates the `Idempotency-Key` header.
 *
 * @returns The key, or undefined without the header.
 * @throws RouterError `invalid_request` when the key is malformed.
 * @example
 * ```ts
 * parseIdempotencyKey(request.headers['idempotency-key']);
 * ```
 */
export function parseIdempotencyKey(
  header: string | readonly string[] | undefined,
): string | undefined {
  if (header === undefined) return undefined;
  const isOneKey =
    typeof header === 'string' && IDEMPOTENCY_KEY_PATTERN.test(header);
  if (!isOneKey || header.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
    throw createInvalidRequestError(
      `Idempotency-Key takes 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} printable characters`,
    );
  }
  return header;
}

/**
 * Parses JSON text.
 *
 * @throws RouterError `invalid_json` when the text is not valid JSON.
 * @example
 * ```ts
 * parseJson('{"a":1}');
 * ```
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw RouterError.create('The body is not valid JSON.', {
      code: 'invalid_json',
    });
  }
}

function formatIssues(issues: readonly z.core.$ZodIssue[]): string {
  return issues
    .map(issue => {
      const path = issue.path.length === 0 ? 'body' : issue.path.join('.');
      return `${path}: ${issue.message}`;
    })
    .join('; ');
}

function createInvalidRequestError(message: string): RouterError {
  return RouterError.create(message, {code: 'invalid_request'});
}
