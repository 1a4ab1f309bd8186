import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  pickDestination,
  RoutingTable,
  type ForwardRoute,
  type RoutingSnapshot,
} from '../../src/index.js';

function createRoute(name: string, pathPrefix: string): ForwardRoute {
  return {
    name,
    hostName: 'api.example',
    pathPrefix,
    kind: 'idempotent',
    isResumable: false,
    timeLimitMs: 1000,
    latencyTargetMs: 100,
    eventGapTargetMs: undefined,
    priority: 0,
    models: [],
    destinations: [{service: 'app', weight: 1}],
    maxAttempts: 1,
    isPublic: false,
  };
}

const SNAPSHOT: RoutingSnapshot = {
  version: 1,
  routes: [createRoute('short', '/a/'), createRoute('long', '/a/b/')],
  services: [],
  organisations: [{name: 'org', callerKeys: ['k'], priority: undefined}],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
};

const LOOKUPS = [
  {host: 'api.example', path: '/a/x', route: 'short'},
  {host: 'api.example', path: '/a/b/x', route: 'long'},
  {host: 'API.example:80', path: '/a/b/', route: 'long'},
  {host: 'api.example', path: '/a', route: undefined},
  {host: 'other.example', path: '/a/x', route: undefined},
  {host: 'api.example', path: '/', route: undefined},
];

for (const {host, path, route} of LOOKUPS) {
  test(`${host}${path} finds ${route ?? 'no route'}`, () => {
    const table = RoutingTable.create(SNAPSHOT);
    assert.equal(table.findRoute(host, path)?.name, route);
  });
}

test('keys name their organisation', () => {
  const table = RoutingTable.create(SNAPSHOT);
  assert.equal(table.findOrganisation('k')?.name, 'org');
  assert.equal(table.findOrganisation('x'), undefined);
});

test('destinations are picked by weight', () => {
  const destinations = [
    {service: 'a', weight: 90},
    {service: 'b', weight: 10},
  ];
  assert.equal(pickDestination(destinations, 0), 'a');
  assert.equal(pickDestination(destinations, 0.89), 'a');
  assert.equal(pickDestination(destinations, 0.91), 'b');
  assert.equal(pickDestination([], 0.5), undefined);
});
