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

// The names that a table of policies offers to the settings.
function listPolicyNames<T extends object>(
  policies: T,
): [StringKeyOf<T>, ...Array<StringKeyOf<T>>] {
  return Object.keys(policies) as [StringKeyOf<T>, ...Array<StringKeyOf<T>>];
}

const DURATION_MS = z.number().int().positive();

const LISTEN = z.strictObject({
  address: z.string().default('127.0.0.1').describe('IP number to listen on.'),
  port: z
    .number()
    .int()
    .min(0)
    .max(65_535)
    .describe('TCP port; 0 takes any free one.'),
});

const TLS = z.strictObject({
  certFile: z
    .string()
    .describe('PEM certificate chain; read again when it changes.'),
  keyFile: z.string().describe('PEM private key; read again when it changes.'),
  caFile: z
    .string()
    .optional()
    .describe('PEM authorities that sign the certificates of the other side.'),
});

// Entries verify each other, so the authorities are required.
const PEER_TLS = TLS.extend({
  caFile: z
    .string()
    .describe('PEM authorities that sign the certificates of other entries.'),
});

/** Settings of one entry process, as written in its YAML file. */
export const SETTINGS_SCHEMA = z.strictObject({
  host: NAME.describe('Name of this host, unique in the deployment.'),
  failureDomain: NAME.describe('Failure domain of this host.'),
  deployment: NAME.default('default').describe(
    'Name of the deployment; marks metrics and objects.',
  ),
  listen: LISTEN.describe('Address for callers.'),
  peer: LISTEN.extend({
    advertise: ADDRESS.optional().describe(
      '`ip:port` that other entries reach this one at; the address listened on when unset.',
    ),
    seeds: z
      .array(ADDRESS)
      .default([])
      .describe(
        'Peer addresses of other entries to ask while the head of the rules is not known.',
      ),
  }).describe('Address for other entries and for operators.'),
  tls: z
    .strictObject({
      callers: TLS.optional().describe(
        'Certificate for callers; plain HTTP when unset. With `caFile`, callers need a certificate too.',
      ),
      peers: PEER_TLS.optional().describe(
        'Certificate for other entries and operators; plain HTTP when unset.',
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
        'Answers that the rating service takes a second, from all entries.',
      ),
    callTimeoutMs: DURATION_MS.default(2000).describe(
      'Longest wait for one call of the object API.',
    ),
    hostPollMs: DURATION_MS.default(1000).describe(
      'Time between two reads of the host list.',
    ),
  }),
  organisations: z
    .array(
      z.strictObject({
        name: NAME.describe('Name of the organisation, as the rules have it.'),
        keySha256: z
          .array(SHA256_HEX)
          .min(1)
          .describe(
            'SHA-256 digests of the API keys in use; take effect without a restart.',
          ),
      }),
    )
    .min(1),
  operators: z
    .array(
      z.strictObject({
        name: NAME.describe('Name of the operator, as the audit trail has it.'),
        tokenSha256: SHA256_HEX.describe(
          'SHA-256 digest of the token; takes effect without a restart.',
        ),
      }),
    )
    .default([]),
  sessions: z.strictObject({
    keys: z
      .array(
        z.strictObject({
          id: NAME.describe('Id of the key; part of the tokens it signs.'),
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
        'Keys of session tokens: the first signs, all verify; take effect without a restart.',
      ),
  }),
  rules: z
    .strictObject({
      initialFile: z
        .string()
        .optional()
        .describe(
          'Rule file that creates revision 1 when the deployment has none.',
        ),
      freshnessMs: DURATION_MS.default(6000).describe(
        'An entry that has not confirmed its rules for this long stops.',
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
        .describe('Largest body of a request, in bytes.'),
      defaultDeadlineMs: DURATION_MS.default(30_000).describe(
        'Deadline of a request that names none and whose kind has none.',
      ),
      maxDeadlineMs: DURATION_MS.default(120_000).describe(
        'Longest deadline that a caller may ask for.',
      ),
      maxTokens: z
        .number()
        .int()
        .positive()
        .default(4096)
        .describe('Most tokens that a caller may ask for.'),
      maxQueued: z
        .number()
        .int()
        .positive()
        .default(256)
        .describe('Most requests that wait in this entry.'),
    })
    .prefault({}),
  stop: z
    .strictObject({
      readyGraceMs: DURATION_MS.default(2000).describe(
        'Time between failing `/readyz` and refusing new connections.',
      ),
      stragglerTimeoutMs: DURATION_MS.default(150_000).describe(
        'Time after which requests still in progress are cut.',
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
            .describe('Weight of cost against the other measures.'),
          exposure: z
            .number()
            .min(0)
            .default(1)
            .describe(
              'Weight of exposure to bad versions against the other measures.',
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
        .describe('Lowest level written; takes effect without a restart.'),
    })
    .prefault({}),
});

/** Checked settings with every default filled in. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>;
