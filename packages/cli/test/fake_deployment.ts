import {createServer, type Server} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import type {AddressInfo} from 'node:net';
import {parseRules} from '@anvilrudder/core';
import {
  createControlRoutes,
  digestOperatorToken,
  MAX_CONTROL_REQUEST_BYTES,
  type AuditRecord,
} from '@anvilrudder/entry/operators';
import type {
  ApplyRulesRequest,
  ChangeOutcome,
  RulesInForce,
  RulesKeeper,
  RulesStatus,
} from '@anvilrudder/entry/rules-keeper';
import {connectNodeAdapter} from '@connectrpc/connect-node';

export const TOKEN = 'kim-token';

/** Certificate and key of an entry, PEM. */
export interface ServerCertificate {
  readonly cert: string;
  readonly key: string;
}

/** What an entry does with an offered change. */
export type ApplyFault =
  | 'none'
  /** The change takes effect and the connection is cut. */
  | 'lose_answer'
  /** The connection is cut before the change takes effect. */
  | 'cut'
  /** The connection stays open without an answer. */
  | 'hang'
  /** The change is answered as undecided and accepted later. */
  | 'undecided';

/** The rules that all entries of a fake deployment share. */
export class FakeDeployment {
  revision = 1;
  readonly outcomes = new Map<string, ChangeOutcome>();
  readonly audit: AuditRecord[] = [];
  readonly accepted: ApplyRulesRequest[] = [];
  private readonly servers: Server[] = [];

  private constructor(public content: string) {}

  static create(content: string): FakeDeployment {
    return new FakeDeployment(content);
  }

  /** Starts an entry and returns its URL. */
  async startEntry(
    fault: ApplyFault = 'none',
    token = TOKEN,
    tls?: ServerCertificate,
  ): Promise<string> {
    const keeper = new FakeKeeper(this, fault, () =>
      server.closeAllConnections(),
    );
    const routes = createControlRoutes({
      host: `entry-${this.servers.length + 1}`,
      keeper,
      audit: {list: async query => this.listAudit(query.afterSequence)},
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

  private listAudit(afterSequence: number): readonly AuditRecord[] {
    return this.audit.filter(({sequence}) => sequence > afterSequence);
  }
}

class FakeKeeper implements RulesKeeper {
  constructor(
    private readonly deployment: FakeDeployment,
    private readonly fault: ApplyFault,
    private readonly cut: () => void,
  ) {}

  inForce(): RulesInForce | undefined {
    const {revision, content} = this.deployment;
    const {rules} = parseRules(content);
    if (rules === undefined) return undefined;
    return {revision, rules, pendingRules: undefined};
  }

  async apply(request: ApplyRulesRequest): Promise<ChangeOutcome> {
    if (this.fault === 'cut') this.cut();
    if (this.fault === 'cut' || this.fault === 'hang') {
      return new Promise(() => {});
    }
    const outcome = this.deployment.apply(request);
    if (this.fault === 'lose_answer') this.cut();
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
