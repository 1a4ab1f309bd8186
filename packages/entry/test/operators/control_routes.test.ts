import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, before, describe, test} from 'node:test';
import type {MessageInitShape} from '@bufbuild/protobuf';
import {
  parseRules,
  RouterError,
  type AuditEntry,
  type AuditFilter,
} from '@anvilrudder/core';
import {ControlService, type ApplyRulesRequestSchema} from '@anvilrudder/peers';
import {
  Code,
  ConnectError,
  createClient,
  type Client,
} from '@connectrpc/connect';
import {
  connectNodeAdapter,
  createConnectTransport,
} from '@connectrpc/connect-node';
import {
  createControlRoutes,
  digestOperatorToken,
  ERROR_CODE_HEADER,
  MAX_CONTROL_REQUEST_BYTES,
} from '../../src/control/operators/index.js';
import type {
  ApplyRulesRequest,
  RulesInForce,
  RulesManager,
} from '../../src/control/rules_manager.js';

const CONTENT = [
  'model name=quick version=v1 cost-per-mtok=0.2 quality=0.7 # Kim: base',
  'kind name=icebreaker quality=0.6 deadline-ms=8000 # Kim: base',
  'allow organisation=hana model=* version=* kind=* # Kim: base',
].join('\n');

const AUDIT_RECORD: AuditEntry = {
  sequence: 7,
  timeMs: 1_800_000_000_000,
  host: 'entry-1',
  action: 'apply',
  who: 'kim',
  why: 'test',
  beforeRevision: 1,
  afterRevision: 2,
  outcome: 'accepted',
  id: 'c-1',
};

const APPLY_REQUEST = {changeId: 'c-1', why: 'test', content: CONTENT};

type RefusedCase = readonly [
  string,
  MessageInitShape<typeof ApplyRulesRequestSchema>,
  string,
];

class FakeRulesManager implements RulesManager {
  readonly applied: ApplyRulesRequest[] = [];
  failure: Error | undefined;
  rulesInForce: RulesInForce | undefined;

  inForce(): RulesInForce | undefined {
    return this.rulesInForce;
  }

  async apply(request: ApplyRulesRequest) {
    if (this.failure !== undefined) throw this.failure;
    this.applied.push(request);
    const {changeId} = request;
    return {
      changeId,
      state: 'refused' as const,
      revision: 0,
      reason: 'findings',
      findings: parseRules('alow x=y').findings,
      silentHosts: ['entry-2'],
    };
  }

  async findChange() {
    return undefined;
  }

  content(): string {
    return CONTENT;
  }

  status() {
    return {
      revision: 3,
      digest: 'd',
      pendingChangeId: undefined,
      isServing: true,
      servesBy: 'store' as const,
      confirmedAgeMs: 12.6,
      members: [
        {
          host: 'entry-2',
          incarnation: 'i',
          failureDomain: 'a',
          peerAddress: '127.0.0.1:1',
          heardAgeMs: undefined,
          revision: 0,
        },
      ],
    };
  }

  async stop(): Promise<void> {}
}

describe('control service', () => {
  const rulesManager = new FakeRulesManager();
  const queries: AuditFilter[] = [];
  const routes = createControlRoutes({
    host: 'entry-1',
    rulesManager,
    audit: {
      list: async query => {
        queries.push(query);
        return [AUDIT_RECORD];
      },
    },
    operatorTokens: [
      {name: 'lee', sha256: digestOperatorToken('lee-token')},
      {name: 'kim', sha256: digestOperatorToken('kim-token')},
    ],
  });
  const server = createServer(
    connectNodeAdapter({routes, readMaxBytes: MAX_CONTROL_REQUEST_BYTES}),
  );
  let client: Client<typeof ControlService>;

  before(async () => {
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const baseUrl = `http://127.0.0.1:${port}`;
    const transport = createConnectTransport({baseUrl, httpVersion: '1.1'});
    client = createClient(ControlService, transport);
  });

  after(() => {
    server.close();
    server.closeAllConnections();
  });

  const createCallOptions = (token: string) => ({
    headers: {authorization: `Bearer ${token}`},
  });
  const kimOptions = createCallOptions('kim-token');

  async function readFailure(call: Promise<unknown>): Promise<string> {
    const error = await call.then(
      () => assert.fail('expected the call to fail, but it succeeded'),
      (reason: unknown) => ConnectError.from(reason),
    );
    return `${Code[error.code]} ${error.metadata.get(ERROR_CODE_HEADER)}`;
  }

  test('refuses every method without a known operator token', async () => {
    const options = [
      undefined,
      createCallOptions('nope'),
      createCallOptions(''),
    ];
    for (const option of options) {
      const calls = [
        client.applyRules(APPLY_REQUEST, option),
        client.getChange({changeId: 'c'}, option),
        client.getStatus({}, option),
        client.getRules({}, option),
        client.listAudit({}, option),
        client.explain({}, option),
      ];
      for (const call of calls) {
        const failure = await readFailure(call);
        assert.equal(failure, 'Unauthenticated unauthenticated');
      }
    }
    assert.deepEqual(rulesManager.applied, []);
  });

  test('applies a change as the operator of the token and returns all findings', async () => {
    const request = {
      ...APPLY_REQUEST,
      baseRevision: 3n,
      withoutHosts: ['e'],
    };
    const {outcome} = await client.applyRules(request, kimOptions);
    assert.deepEqual(rulesManager.applied.pop(), {
      ...APPLY_REQUEST,
      who: 'kim',
      baseRevision: 3,
      withoutHosts: ['e'],
    });
    assert.equal(outcome?.state, 'refused');
    assert.equal(outcome.findings[0].hint, 'did you mean "allow"?');
    assert.deepEqual(outcome.silentHosts, ['entry-2']);
  });

  const REFUSED_CASES: readonly RefusedCase[] = [
    [
      "another operator's name",
      {...APPLY_REQUEST, who: 'lee'},
      'PermissionDenied not_allowed',
    ],
    [
      'an empty change id',
      {...APPLY_REQUEST, changeId: ''},
      'InvalidArgument invalid_request',
    ],
    [
      'a malformed change id',
      {...APPLY_REQUEST, changeId: 'a/b'},
      'InvalidArgument invalid_request',
    ],
    [
      'a blank reason',
      {...APPLY_REQUEST, why: ' '},
      'InvalidArgument invalid_request',
    ],
    [
      'a reason of two lines',
      {...APPLY_REQUEST, why: 'a\nwho=root'},
      'InvalidArgument invalid_request',
    ],
    [
      'an empty host name',
      {...APPLY_REQUEST, withoutHosts: ['']},
      'InvalidArgument invalid_request',
    ],
    [
      'a revision above the largest safe integer',
      {...APPLY_REQUEST, baseRevision: 2n ** 60n},
      'InvalidArgument invalid_request',
    ],
    [
      'a file over the size limit',
      {...APPLY_REQUEST, content: ' '.repeat(1_048_577)},
      'InvalidArgument invalid_request',
    ],
  ];

  for (const [name, request, expected] of REFUSED_CASES) {
    test(`refuses to apply ${name}`, async () => {
      const call = client.applyRules(request, kimOptions);
      assert.equal(await readFailure(call), expected);
      assert.deepEqual(rulesManager.applied, []);
    });
  }

  test('maps router errors and hides the messages of unexpected ones', async () => {
    rulesManager.failure = RouterError.create('Out.', {
      code: 'platform_unavailable',
    });
    const typed = await readFailure(
      client.applyRules(APPLY_REQUEST, kimOptions),
    );
    rulesManager.failure = new Error('secret');
    const call = client.applyRules(APPLY_REQUEST, kimOptions);
    await assert.rejects(call, error => !String(error).includes('secret'));
    rulesManager.failure = undefined;
    assert.equal(typed, 'Unavailable platform_unavailable');
  });

  test('returns the status, the rules, a change and audit records', async () => {
    const status = await client.getStatus({}, kimOptions);
    assert.equal(status.host, 'entry-1');
    assert.equal(status.confirmedAgeMs, 13);
    assert.equal(status.members[0].heardAgeMs, undefined);
    assert.equal(status.members[0].revision, 0n);
    const rules = await client.getRules({}, kimOptions);
    assert.equal(rules.content, CONTENT);
    assert.equal(rules.revision, 3n);
    const change = await client.getChange({changeId: 'c'}, kimOptions);
    assert.equal(change.outcome, undefined);
    const {records} = await client.listAudit(
      {who: 'kim', limit: 9999},
      kimOptions,
    );
    assert.equal(records[0].sequence, 7n);
    assert.deepEqual(queries, [
      {who: 'kim', action: undefined, afterSequence: 0, limit: 1000},
    ]);
  });

  test('explains routing by the rules in force', async () => {
    const scope = {organisation: 'hana', kind: 'icebreaker'};
    const failure = await readFailure(client.explain(scope, kimOptions));
    assert.equal(failure, 'Unavailable not_ready');
    const {rules} = parseRules(CONTENT);
    assert.ok(rules !== undefined);
    rulesManager.rulesInForce = {revision: 3, rules, pendingRules: undefined};
    const {revision, options} = await client.explain(scope, kimOptions);
    assert.equal(revision, 3n);
    assert.equal(options[0].verdict, 'chosen');
    assert.equal(options[0].rules[0].who, 'Kim');
  });
});

test('refuses a malformed token digest at creation', () => {
  assert.throws(
    () =>
      createControlRoutes({
        host: 'e',
        rulesManager: new FakeRulesManager(),
        audit: {list: async () => []},
        operatorTokens: [{name: 'kim', sha256: 'plain'}],
      }),
    TypeError,
  );
});
