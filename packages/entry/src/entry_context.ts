import type {
  BillingRecord,
  ServiceRule,
  SessionKeyRing,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {
  EngineClient,
  ServiceResponse,
  ServiceClient,
} from '@anvilrudder/clients';
import type {BackendDirectory} from './backends/backend_directory.js';
import type {Settings} from './config/settings_schema.js';
import type {AuditTrail} from './control/audit/audit_trail.js';
import type {Decisions} from './decisions/start_decisions.js';
import type {RulesKeeper} from './control/rules_keeper.js';
import type {OpenRequests} from './server/open_requests.js';
import type {Authenticator} from './stages/authenticate.js';
import type {ServiceRequest} from './stages/caller_request.js';

/** Stores the billing record of each completed request exactly once. */
export interface BillingSink {
  /** Resolves once the record would survive the loss of this host. */
  record(record: BillingRecord): Promise<void>;
  /** True when new requests must be refused until records have been stored. */
  isFull(): boolean;
}

/** Runs service calls; a non-idempotent call with a key runs at most once. */
export interface ClaimRunner {
  run(
    request: ServiceRequest,
    rule: ServiceRule,
    call: () => Promise<ServiceResponse>,
  ): Promise<ServiceResponse>;
}

/** The dependencies of the request stages. */
export interface EntryContext {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly callers: Authenticator;
  readonly sessionKeys: SessionKeyRing;
  readonly keeper: RulesKeeper;
  readonly decisions: Decisions;
  readonly backends: BackendDirectory;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly openRequests: OpenRequests;
  /** Returns false once a planned stop has begun. */
  readonly isAccepting: () => boolean;
  readonly claims: ClaimRunner;
  readonly billing: BillingSink;
  readonly audit: AuditTrail;
}
