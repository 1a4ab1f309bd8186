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
type NameOf<T> = Extract<keyof T, string>;

// The names that a table of policies offers to the settings.
function listNames<T extends object>(
  policies: T,
): [NameOf<T>, ...Array<NameOf<T>>] {
  return Object.keys(policies) as [NameOf<T>, ...Array<NameOf<T>>];
}

const DURATION_MS = z.number().int().positive();

const LISTEN = z.strictObject({
  /** IP number to listen on. */
  address: z.string().default('127.0.0.1'),
  /** TCP port; 0 takes any free one. */
  port: z.number().int().min(0).max(65_535),
});

const TLS = z.strictObject({
  /** PEM certificate chain; read again when the file changes. */
  certFile: z.string(),
  /** PEM private key. */
  keyFile: z.string(),
  /** PEM authorities that sign the certificates of the other side. */
  caFile: z.string().optional(),
});

// Entries verify each other, so the authorities are required.
const PEER_TLS = TLS.required({caFile: true});

/** Settings of one entry process, as written in its YAML file. */
export const SETTINGS_SCHEMA = z.strictObject({
  /** Name of this host, unique in the deployment. */
  host: NAME,
  /** Failure domain of this host. */
  failureDomain: NAME,
  /** Name of the deployment; marks metrics and objects. */
  deployment: NAME.default('default'),
  /** Address for callers. */
  listen: LISTEN,
  /** Address for other entries and for operators. */
  peer: LISTEN.extend({
    /** `ip:port` that other entries reach this one at. */
    advertise: ADDRESS.optional(),
    /** Peer addresses of other entries to ask while the head is not known. */
    seeds: z.array(ADDRESS).default([]),
  }),
  tls: z
    .strictObject({
      callers: TLS.optional(),
      peers: PEER_TLS.optional(),
    })
    .prefault({}),
  platform: z.strictObject({
    /** Base URL of the object API. */
    objectsUrl: z.url(),
    /** Base URL of the host list. */
    hostsUrl: z.url(),
    /** Base URL of the rating service; no ratings when unset. */
    ratingsUrl: z.url().optional(),
    /** Answers that the rating service takes a second, from all entries. */
    ratingsPerS: z.number().positive().default(50),
    /** Longest wait for one call of the object API. */
    callTimeoutMs: DURATION_MS.default(2000),
    /** Time between two reads of the host list. */
    hostPollMs: DURATION_MS.default(1000),
  }),
  organisations: z
    .array(
      z.strictObject({
        name: NAME,
        /** SHA-256 digests of the API keys in use. */
        apiKeySha256: z.array(SHA256_HEX).min(1),
      }),
    )
    .min(1),
  operators: z
    .array(z.strictObject({name: NAME, tokenSha256: SHA256_HEX}))
    .default([]),
  sessions: z.strictObject({
    /** Signing keys; the first signs, all verify. */
    keys: z
      .array(
        z.strictObject({
          id: NAME,
          /** At least 32 bytes in base64. */
          secretBase64: z
            .string()
            .refine(
              text => Buffer.from(text, 'base64').length >= 32,
              'expected at least 32 bytes in base64',
            ),
        }),
      )
      .min(1),
  }),
  rules: z
    .strictObject({
      /** Rule file that creates revision 1 when the deployment has none. */
      initialFile: z.string().optional(),
      /** An entry that has not confirmed its rules for this long stops. */
      freshnessMs: DURATION_MS.default(6000),
    })
    .prefault({}),
  requests: z
    .strictObject({
      /** Largest body of a request, in bytes. */
      maxBodyBytes: z.number().int().positive().default(1_048_576),
      /** Deadline of a request that names none and whose kind has none. */
      defaultDeadlineMs: DURATION_MS.default(30_000),
      /** Longest deadline that a caller may ask for. */
      maxDeadlineMs: DURATION_MS.default(120_000),
      /** Most tokens that a caller may ask for. */
      maxTokens: z.number().int().positive().default(4096),
      /** Most requests that wait in this entry. */
      maxQueued: z.number().int().positive().default(256),
    })
    .prefault({}),
  stop: z
    .strictObject({
      /** Time between failing `/readyz` and refusing new connections. */
      readyGraceMs: DURATION_MS.default(2000),
      /** Time after which requests still in progress are cut. */
      stragglerTimeoutMs: DURATION_MS.default(60_000),
    })
    .prefault({}),
  decisions: z
    .strictObject({
      /** How the model and version are chosen. */
      modelPolicy: z.enum(listNames(MODEL_POLICIES)).default('learnt-mix'),
      /** How the backend server is chosen. */
      backendPolicy: z
        .enum(listNames(SERVER_POLICIES))
        .default('prefix-bounded'),
      /** How requests are admitted to the servers of a version. */
      admissionPolicy: z
        .enum(listNames(ADMISSION_POLICIES))
        .default('predictive'),
      /** How the limits of organisations are split between entries. */
      limitPolicy: z.enum(listNames(SHARE_POLICIES)).default('demand-share'),
      /** Weight of cost and of exposure to bad versions. */
      weights: z
        .strictObject({
          cost: z.number().min(0).default(1),
          exposure: z.number().min(0).default(1),
        })
        .prefault({}),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
});

/** Checked settings with every default filled in. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>;
