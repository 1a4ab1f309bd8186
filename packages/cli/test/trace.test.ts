import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runCli} from '../src/index.js';
import {createFakeIo} from './fake_io.js';

const FIRST_HOST = [
  'time=2026-12-04T10:00:01.000Z level=info program=anvilrudder-gateway host=e1 event=attempt_ended request=r1 server=i-1 end=lost attempt=1',
  'time=2026-12-04T10:00:02.000Z level=info program=anvilrudder-gateway host=e1 event=request_settled request=r1 outcome=answered status=200 server=i-2',
  'time=2026-12-04T10:00:02.500Z level=info program=anvilrudder-gateway host=e1 event=request_settled request=r2 outcome=answered status=200 server=i-3',
].join('\n');
const SECOND_HOST = [
  'shipper: time=2026-12-04T10:00:01.500Z level=info program=anvilrudder-gateway host=e2 event=server_gone server=i-1',
  'time=2026-12-04T10:00:01.600Z level=info program=anvilrudder-gateway host=e2 event=server_gone server=i-9',
  'not a line of ours',
].join('\n');

test('trace sorts the lines of one request by time and adds those of its servers', async () => {
  const io = createFakeIo({a: FIRST_HOST, b: SECOND_HOST});
  const args = ['trace', 'r1', '--log', 'a', '--log', 'b'];
  assert.equal(await runCli(args, io), 0);
  assert.deepEqual(
    io.output
      .trim()
      .split('\n')
      .map(line => line.split(' ').slice(1, 3).join(' ')),
    ['e1 attempt_ended', 'e2 server_gone', 'e1 request_settled'],
  );
});

test('trace adds the quarantine of the prompt part because of which a request was refused', async () => {
  const log = [
    'time=2026-12-04T10:00:01.000Z level=warn program=anvilrudder-gateway host=e1 event=part_quarantined part=91bd remainingMs=600000',
    'time=2026-12-04T10:00:01.100Z level=warn program=anvilrudder-gateway host=e1 event=part_quarantined part=77aa remainingMs=600000',
    'time=2026-12-04T10:00:02.000Z level=info program=anvilrudder-gateway host=e1 event=request_settled request=r3 outcome=quarantined status=503 part=91bd',
  ].join('\n');
  const io = createFakeIo({a: log});
  assert.equal(await runCli(['trace', 'r3', '--log', 'a'], io), 0);
  const events = io.output.trim().split('\n');
  assert.equal(events.length, 2);
  assert.match(events[0], /part_quarantined .*part=91bd/);
});

test('trace adds the quarantine of the request that it prints', async () => {
  const log = [
    'time=2026-12-04T10:00:01.000Z level=warn program=anvilrudder-gateway host=e1 event=request_quarantined requestDigest=Xy remainingMs=60000',
    'time=2026-12-04T10:00:01.100Z level=warn program=anvilrudder-gateway host=e1 event=request_quarantined requestDigest=Zz remainingMs=60000',
    'time=2026-12-04T10:00:02.000Z level=info program=anvilrudder-gateway host=e1 event=request_settled request=r3 outcome=quarantined status=503 requestDigest=Xy',
  ].join('\n');
  const io = createFakeIo({a: log});
  assert.equal(await runCli(['trace', 'r3', '--log', 'a'], io), 0);
  const events = io.output.trim().split('\n');
  assert.equal(events.length, 2);
  assert.match(events[0], /request_quarantined .*requestDigest=Xy/);
});

test('trace reports that a request is not in the logs', async () => {
  const io = createFakeIo({a: FIRST_HOST});
  assert.equal(await runCli(['trace', 'none', '--log', 'a'], io), 1);
  assert.match(io.errors, /no log lines found for request none/);
});
