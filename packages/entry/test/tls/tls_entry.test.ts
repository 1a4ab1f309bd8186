import assert from 'node:assert/strict';
import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import {connect, type ConnectionOptions, type TLSSocket} from 'node:tls';
import {test, type TestContext} from 'node:test';
import {
  ControlService,
  PeerService,
  ShareService,
  LedgerService,
} from '@anvilrudder/peers';
import type {DescService} from '@bufbuild/protobuf';
import {Code, ConnectError, createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {Agent, request} from 'undici';
import type {Settings} from '../../src/config/settings_schema.js';
import {
  createCertificateFiles,
  readIdentity,
  readPem,
  replaceAuthority,
  replaceCertificate,
} from '../support/test_certificates.js';
import {
  API_KEYS,
  startTestDeployment,
  waitUntil,
  type TestDeploymentOptions,
} from '../support/test_deployment.js';

type TlsSettings = Settings['tls'];

/** Starts entries with certificates and stops them after the test. */
async function startWithTls(
  t: TestContext,
  tls: TlsSettings,
  options: TestDeploymentOptions = {},
) {
  const deployment = await startTestDeployment({
    ...options,
    settings: settings => ({...settings, tls}),
  });
  t.after(() => deployment.stop());
  return deployment;
}

/** Returns the serial number of the certificate for a new connection. */
async function readSerial(address: string): Promise<string> {
  const socket = await openTls(address, {ca: readPem('ca.pem')});
  const {serialNumber} = socket.getPeerCertificate();
  socket.destroy();
  return serialNumber;
}

async function openTls(
  address: string,
  options: ConnectionOptions,
): Promise<TLSSocket> {
  const [host, port] = address.split(':');
  const socket = connect({host, port: Number(port), ...options});
  await once(socket, 'secureConnect');
  return socket;
}

/** Returns the error code of a call with an empty message, if it fails. */
async function callPeer(
  address: string,
  service: DescService,
  identity: ConnectionOptions,
): Promise<Code | undefined> {
  const transport = createConnectTransport({
    baseUrl: `https://${address}`,
    httpVersion: '1.1',
    nodeOptions: {...identity, agent: false} as never,
  });
  const client = createClient(service, transport) as Readonly<
    Record<string, (message: object) => Promise<unknown>>
  >;
  try {
    await client[service.methods[0].localName]({});
    return undefined;
  } catch (error) {
    return ConnectError.from(error).code;
  }
}

test('callers are served over TLS with the certificate in the settings', async t => {
  const files = createCertificateFiles();
  const {entries} = await startWithTls(t, {
    callers: {certFile: files.certFile, keyFile: files.keyFile},
  });
  const dispatcher = new Agent({connect: {ca: readPem('ca.pem')}});
  t.after(() => dispatcher.close());
  const answer = await request(
    `https://${entries[0].callerAddress}/v1/generate`,
    {
      dispatcher,
      method: 'POST',
      headers: {authorization: `Bearer ${API_KEYS['school-a']}`},
      body: JSON.stringify({kind: 'chat', prompt: 'hello', maxTokens: 3}),
    },
  );
  assert.equal(answer.statusCode, 200);
  assert.match(await answer.body.text(), /event: done/);
  await assert.rejects(
    openTls(entries[0].callerAddress, {
      ca: readPem('ca.pem'),
      maxVersion: 'TLSv1.1',
      minVersion: 'TLSv1.1',
    }),
    'TLS 1.1 is refused',
  );
});

test('callers must present a certificate when caFile is set', async t => {
  const {entries} = await startWithTls(t, {callers: createCertificateFiles()});
  const url = `https://${entries[0].callerAddress}/livez`;
  const known = new Agent({connect: readIdentity('renewed')});
  const unknown = new Agent({connect: {ca: readPem('ca.pem')}});
  t.after(() => Promise.all([known.close(), unknown.close()]));
  const answer = await request(url, {dispatcher: known});
  await answer.body.dump();
  assert.equal(answer.statusCode, 200);
  await assert.rejects(request(url, {dispatcher: unknown}));
});

test('entries accept rules over mutual TLS, and operators need only their token', async t => {
  const {entries} = await startWithTls(
    t,
    {peers: createCertificateFiles()},
    {entryCount: 2},
  );
  await waitUntil(
    () =>
      entries.every(
        ({context}) =>
          context.rulesManager.inForce() !== undefined &&
          context.rulesManager.status().members.length === 2 &&
          context.rulesManager
            .status()
            .members.every(({heardAgeMs}) => heardAgeMs !== undefined),
      ),
    'both entries serve and have heard from each other',
  );
  const {peerAddress} = entries[0];
  const operator = {ca: readPem('ca.pem')};
  const cases: ReadonlyArray<
    readonly [DescService, ConnectionOptions, Code, string]
  > = [
    [PeerService, operator, Code.Unauthenticated, 'no certificate'],
    [LedgerService, operator, Code.Unauthenticated, 'no certificate'],
    [ShareService, operator, Code.Unauthenticated, 'no certificate'],
    [
      PeerService,
      {...readIdentity('foreign'), ca: readPem('ca.pem')},
      Code.Unauthenticated,
      'signed by another CA',
    ],
    [
      PeerService,
      readIdentity('wrong_name'),
      Code.Unauthenticated,
      'for another address',
    ],
  ];
  for (const [service, identity, code, description] of cases) {
    assert.equal(
      await callPeer(peerAddress, service, identity),
      code,
      `${service.typeName}: ${description}`,
    );
  }
  const own = readIdentity('renewed');
  for (const service of [PeerService, LedgerService, ShareService]) {
    const code = await callPeer(peerAddress, service, own);
    assert.notEqual(code, Code.Unauthenticated, service.typeName);
  }
  const control = createClient(
    ControlService,
    createConnectTransport({
      baseUrl: `https://${peerAddress}`,
      httpVersion: '1.1',
      nodeOptions: {...operator, agent: false} as never,
    }),
  );
  await assert.rejects(control.getStatus({}), /operator token is missing/);
});

test('an entry with a certificate for another address is ignored by its peers', async t => {
  const good = createCertificateFiles();
  const wrong = createCertificateFiles('wrong_name');
  const deployment = await startTestDeployment({
    entryCount: 2,
    settings: settings => ({
      ...settings,
      tls: {peers: settings.host === 'entry-1' ? wrong : good},
    }),
  });
  t.after(() => deployment.stop());
  const {peerAddress} = deployment.entries[1];
  await assert.rejects(
    openTls(peerAddress, readIdentity('entry')),
    /IP: 127\.0\.0\.1 is not in the cert's list/,
  );
  const member = deployment.entries[0].context.rulesManager
    .status()
    .members.find(({host}) => host === 'entry-1');
  assert.ok(member === undefined || member.revision === undefined);
});

test('renewed certificates are loaded, malformed files are not', async t => {
  const callers = createCertificateFiles();
  const peers = createCertificateFiles();
  const {entries} = await startWithTls(
    t,
    {callers: {certFile: callers.certFile, keyFile: callers.keyFile}, peers},
    {entryCount: 2},
  );
  const [{callerAddress, peerAddress}] = entries;
  const oldSerial = await readSerial(callerAddress);

  writeFileSync(callers.certFile, 'not a certificate');
  replaceCertificate(peers, 'renewed');
  await waitUntil(
    async () => (await readSerial(peerAddress)) !== oldSerial,
    'the server for peers presents the renewed certificate',
  );
  assert.equal(await readSerial(callerAddress), oldSerial);

  replaceCertificate(callers, 'renewed');
  await waitUntil(
    async () => (await readSerial(callerAddress)) !== oldSerial,
    'the server for callers presents the renewed certificate',
  );
});

test('a connection made before a change of CA closes after its next response', async t => {
  const files = createCertificateFiles();
  const {entries} = await startWithTls(t, {peers: files});
  const {peerAddress} = entries[0];
  const socket = await openTls(peerAddress, readIdentity('entry'));
  t.after(() => socket.destroy());
  replaceAuthority(files, 'other_ca');
  await waitUntil(
    async () =>
      (await callPeer(peerAddress, PeerService, readIdentity('entry'))) ===
      Code.Unauthenticated,
    'a certificate signed by the replaced CA is refused',
  );
  socket.write('GET / HTTP/1.1\r\nHost: entry\r\n\r\n');
  const [answer] = (await once(socket, 'data')) as [Buffer];
  assert.match(String(answer), /\r\nConnection: close\r\n/i);
  await once(socket, 'close');
});
