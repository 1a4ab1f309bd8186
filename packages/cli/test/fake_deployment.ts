import {createServer, type Server} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import type {AddressInfo} from 'node:net';
import {parseRules, type AuditEntry} from '@anvilrudder/core';
import {
  createControlRoutes,
  digestOperatorToken,
  MAX_CONTROL_REQUEST_BYTES,
} from '@anvilrudder/entry/operators';
import type {
  ApplyRulesRequest,
  ChangeOutcome,
  RulesInForce,
  RulesManager,
  RulesStatus,
} from '@anvilrudder/entry/rules-manager';
import {connectNodeAdapter} from '@connectrpc/connect-node';

export const TOKEN = 'kim-token';

/** Certificate and private key of an entry, in PEM. */
export interface ServerCertificate {
  readonly cert: string;
  readonly key: string;
}

/** Fault that an entry causes when a change is submitted to it. */
export type ApplyFault =
  | 'none'
  /** The change takes effect, but the connection closes before the answer. */
  | 'lose_answer'
  /** The connection closes before the change takes effect. */
  | 'cut'
  /** The connection stays open without an answer. */
  | 'hang'
  /**
   * The answer is `undecided`, and a later read returns the accepted change.
   */
  | 'undecided';

/** Fake entries on loopback that share their rules and their audit trail. */
export class FakeDeployment {
  revision = 1;
  readonly outcomes = new Map<string, ChangeOutcome>();
  readonly audit: AuditEntry[] = [];
  readonly accepted: ApplyRulesRequest[] = [];
  private readonly servers: Server[] = [];

  private constructor(public content: string) {}

  static create(content: string): FakeDeployment {
    return new FakeDeployment(content);
  }

  /**
   * Starts an entry with a fault and an operator token, and returns its URL.
   */
  async startEntry(
    fault: ApplyFault = 'none',
    token = TOKEN,
    tls?: ServerCertificate,
  ): Promise<string> {
    const rulesManager = new FakeRulesManager(this, fault, () =>
      server.closeAllConnections(),
    );
    const routes = createControlRoutes({
      host: `entry-${this.servers.length + 1}`,
      rulesManager,
      audit: {list: async query => this.listAudit(query.afterSequence ?? 0)},
      operatorTokens: [{name: 'kim', sha256: digestOperatorToken(token)}],
    });
    const readMaxBytes = MAX_CONTROL_REQUEST_BYTES;
    const handle = connectNodeAdapter({routes, readMaxBytes});
    const server: Server =
      tls === undefined ? createServer(handle) : createTlsServer(tls, handle);
    this.servers.push(server);
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const scheme = tls === undefined ? 'http' : 'https';
    return `${scheme}://127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  stop(): void {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  apply(request: ApplyRulesRequest): ChangeOutcome {
    const known = this.outcomes.get(request.changeId);
    if (known !== undefined) return known;
    const outcome = this.decide(request);
    this.outcomes.set(request.changeId, outcome);
    return outcome;
  }

  private decide(request: ApplyRulesRequest): ChangeOutcome {
    const {changeId, baseRevision, content, who, why} = request;
    const base = {changeId, findings: [], silentHosts: []};
    if (baseRevision !== this.revision) {
      const reason = `the revision in force is ${this.revision}`;
      return {...base, state: 'refused', revision: 0, reason};
    }
    this.revision += 1;
    this.content = content;
    this.accepted.push(request);
    this.audit.push({
      sequence: this.audit.length + 1,
      timeMs: 1_800_000_000_000,
      host: 'entry-1',
      action: 'apply',
      who,
      why,
      beforeRevision: baseRevision,
      afterRevision: this.revision,
      outcome: 'accepted',
      id: changeId,
    });
    return {...base, state: 'accepted', revision: this.revision, reason: ''};
  }

  private listAudit(afterSequence: number): readonly AuditEntry[] {
    return this.audit.filter(({sequence}) => sequence > afterSequence);
  }
}

class FakeRulesManager implements RulesManager {
  constructor(
    private readonly deployment: FakeDeployment,
    private readonly fault: ApplyFault,
    private readonly closeConnections: () => void,
  ) {}

  inForce(): RulesInForce | undefined {
    const {revision, content} = this.deployment;
    const {rules} = parseRules(content);
    if (rules === undefined) return undefined;
    return {revision, rules, pendingRules: undefined};
  }

  async apply(request: ApplyRulesRequest): Promise<ChangeOutcome> {
    if (this.fault === 'cut') this.closeConnections();
    if (this.fault === 'cut' || this.fault === 'hang') {
      return new Promise(() => {});
    }
    const outcome = this.deployment.apply(request);
    if (this.fault === 'lose_answer') this.closeConnections();
    return this.fault === 'undecided'
      ? {...outcome, state: 'undecided', reason: 'waiting'}
      : outcome;
  }

  async findChange(changeId: string): Promise<ChangeOutcome | undefined> {
    return this.deployment.outcomes.get(changeId);
  }

  content(): string {
    return this.deployment.content;
  }

  status(): RulesStatus {
    return {
      revision: this.deployment.revision,
      digest: 'abcdef0123456789',
      pendingChangeId: undefined,
      isServing: true,
      servesBy: 'store',
      confirmedAgeMs: 5,
      members: [
        {
          host: 'entry-1',
          incarnation: 'i1',
          failureDomain: 'fd-a',
          peerAddress: '127.0.0.1:1',
          heardAgeMs: 20,
          revision: this.deployment.revision,
        },
      ],
    };
  }

  async stop(): Promise<void> {}
}
