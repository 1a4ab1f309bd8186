import {
  ADMISSION_POLICIES,
  MODEL_POLICIES,
  SERVER_POLICIES,
  SHARE_POLICIES,
} from '@anvilrudder/core';
import {z} from 'zod';

const ADDRESS = z.string().regex(/^\S+:\d+$/, 'expected ip:port');
const SHA256_HEX = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest of 64 hex digits');
const NAME = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected a lower-case name');
type StringKeyOf<T> = Extract<keyof T, string>;

// Returns the names of the policies in a table; the settings accept these.
function listPolicyNames<T extends object>(
  policies: T,
): [StringKeyOf<T>, ...Array<StringKeyOf<T>>] {
  return Object.keys(policies) as [StringKeyOf<T>, ...Array<StringKeyOf<T>>];
}

const DURATION_MS = z.number().int().positive();

const LISTEN = z.strictObject({
  address: z.string().default('127.0.0.1').describe('IP address to listen on.'),
  port: z
    .number()
    .int()
    .min(0)
    .max(65_535)
    .describe('TCP port; 0 selects any free port.'),
});

const TLS = z.strictObject({
  certFile: z
    .string()
    .describe('PEM file of the certificate chain; reloaded when it changes.'),
  keyFile: z
    .string()
    .describe('PEM file of the private key; reloaded when it changes.'),
  caFile: z
    .string()
    .optional()
    .describe('PEM file of the CAs that sign the certificates of callers.'),
});

// Entries verify each other's certificates, so `caFile` is required.
const PEER_TLS = TLS.extend({
  caFile: z
    .string()
    .describe('PEM file of the CAs that sign the certificates of entries.'),
});

/** Settings of one entry process, as written in its YAML file. */
export const SETTINGS_SCHEMA = z.strictObject({
  host: NAME.describe('Name of this host, unique in the deployment.'),
  failureDomain: NAME.describe('Failure domain of this host.'),
  deployment: NAME.default('default').describe(
    'Name of the deployment; marks metrics and objects.',
  ),
  listen: LISTEN.describe('Address that callers connect to.'),
  peer: LISTEN.extend({
    advertise: ADDRESS.optional().describe(
      '`ip:port` at which other entries reach this one; the listening address when unset.',
    ),
    seeds: z
      .array(ADDRESS)
      .default([])
      .describe(
        'Peer addresses of other entries to contact while the current rules are not known.',
      ),
  }).describe('Address that other entries and operators connect to.'),
  tls: z
    .strictObject({
      callers: TLS.optional().describe(
        'Certificate for connections of callers; plain HTTP when unset. With `caFile`, callers must present a certificate.',
      ),
      peers: PEER_TLS.optional().describe(
        'Certificate for connections with other entries and operators; plain HTTP when unset.',
      ),
    })
    .prefault({}),
  platform: z.strictObject({
    objectsUrl: z.url().describe('Base URL of the object API.'),
    hostsUrl: z.url().describe('Base URL of the host list.'),
    ratingsUrl: z
      .url()
      .optional()
      .describe('Base URL of the rating service; no ratings when unset.'),
    ratingsPerS: z
      .number()
      .positive()
      .default(50)
      .describe(
        'Answers per second that the rating service accepts from all entries together.',
      ),
    callTimeoutMs: DURATION_MS.default(2000).describe(
      'Timeout of one call to the object API.',
    ),
    hostPollMs: DURATION_MS.default(1000).describe(
      'Time between two reads of the host list.',
    ),
  }),
  organisations: z
    .array(
      z.strictObject({
        name: NAME.describe('Name of the organisation, as in the rules.'),
        keySha256: z
          .array(SHA256_HEX)
          .min(1)
          .describe(
            'SHA-256 digests of the valid API keys; changes take effect without a restart.',
          ),
      }),
    )
    .min(1),
  operators: z
    .array(
      z.strictObject({
        name: NAME.describe('Name of the operator, as in the audit trail.'),
        tokenSha256: SHA256_HEX.describe(
          'SHA-256 digest of the token; changes take effect without a restart.',
        ),
      }),
    )
    .default([]),
  sessions: z.strictObject({
    keys: z
      .array(
        z.strictObject({
          id: NAME.describe('Id of the key; part of the tokens that it signs.'),
          secretBase64: z
            .string()
            .refine(
              text => Buffer.from(text, 'base64').length >= 32,
              'expected at least 32 bytes in base64',
            )
            .describe('Secret of at least 32 bytes, in base64.'),
        }),
      )
      .min(1)
      .describe(
        'Keys for session tokens: the first one signs, all of them verify; changes take effect without a restart.',
      ),
  }),
  rules: z
    .strictObject({
      initialFile: z
        .string()
        .optional()
        .describe(
          'Rule file that becomes revision 1 when the deployment has no rules.',
        ),
      freshnessMs: DURATION_MS.default(6000).describe(
        'Maximum time for which an entry serves without confirming its rules.',
      ),
    })
    .prefault({}),
  requests: z
    .strictObject({
      maxBodyBytes: z
        .number()
        .int()
        .positive()
        .default(1_048_576)
        .describe('Maximum size of a request body, in bytes.'),
      defaultDeadlineMs: DURATION_MS.default(30_000).describe(
        'Deadline of a request when neither the request nor its kind has one.',
      ),
      maxDeadlineMs: DURATION_MS.default(120_000).describe(
        'Maximum deadline that a caller may request.',
      ),
      maxTokens: z
        .number()
        .int()
        .positive()
        .default(4096)
        .describe('Maximum number of tokens that a caller may request.'),
      maxQueued: z
        .number()
        .int()
        .positive()
        .default(256)
        .describe(
          'Maximum number of queued requests in this entry, per model version.',
        ),
    })
    .prefault({}),
  stop: z
    .strictObject({
      readyGraceMs: DURATION_MS.default(2000).describe(
        'Time from the first failed `/readyz` until new connections are refused.',
      ),
      stragglerTimeoutMs: DURATION_MS.default(150_000).describe(
        'Time after which requests still in progress are aborted.',
      ),
    })
    .prefault({}),
  decisions: z
    .strictObject({
      modelPolicy: z
        .enum(listPolicyNames(MODEL_POLICIES))
        .default('learnt-mix')
        .describe('How the model and version are chosen.'),
      backendPolicy: z
        .enum(listPolicyNames(SERVER_POLICIES))
        .default('prefix-bounded')
        .describe('How the backend server is chosen.'),
      admissionPolicy: z
        .enum(listPolicyNames(ADMISSION_POLICIES))
        .default('predictive')
        .describe('How requests are admitted to the servers of a version.'),
      limitPolicy: z
        .enum(listPolicyNames(SHARE_POLICIES))
        .default('demand-share')
        .describe('How the limits of organisations are split between entries.'),
      weights: z
        .strictObject({
          cost: z
            .number()
            .min(0)
            .default(1)
            .describe('Weight of cost relative to the other criteria.'),
          exposure: z
            .number()
            .min(0)
            .default(1)
            .describe(
              'Weight of exposure to bad versions relative to the other criteria.',
            ),
        })
        .prefault({})
        .describe('Weight of cost and of exposure to bad versions.'),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z
        .enum(['debug', 'info', 'warn', 'error'])
        .default('info')
        .describe(
          'Lowest level logged; changes take effect without a restart.',
        ),
    })
    .prefault({}),
});

/** Validated settings, with defaults for the settings that were left out. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>;
