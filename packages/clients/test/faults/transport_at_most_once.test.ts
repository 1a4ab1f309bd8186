import assert from 'node:assert/strict';
import {test} from 'node:test';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {HttpTransport, isTransportError} from '../../src/index.js';
import {formatResponse, startTcpServer} from '../support/tcp_server.js';

const SEED = 7;
const WAVE_COUNT = 25;
const WAVE_SIZE = 16;
const MAX_DELAY_MS = 6;
const MAX_TIMEOUT_MS = 30;

test(`[at-most-once] no request is written twice despite connection cuts, aborts and timeouts (seed ${SEED})`, async t => {
  const random = xoroshiro128plus(SEED);
  const pick = (max: number) => uniformInt(random, 0, max);
  const server = await startTcpServer(socket => {
    const response = formatResponse(200, {});
    const reactions = [
      () => socket.write(response),
      () => socket.end(response),
      () => socket.destroy(),
      () => socket.write(response.slice(0, -1)),
    ];
    setTimeout(reactions[pick(reactions.length - 1)], pick(MAX_DELAY_MS));
  });
  t.after(() => server.stop());
  const transport = HttpTransport.create({connectionsPerAddress: 4});
  t.after(() => transport.close());
  const unsent: string[] = [];
  const sendOne = async (index: number): Promise<void> => {
    const abort = new AbortController();
    setTimeout(() => abort.abort(), 1 + pick(MAX_TIMEOUT_MS));
    try {
      await transport.send({
        address: server.address,
        method: 'POST',
        path: `/${index}`,
        timeoutMs: 1 + pick(MAX_TIMEOUT_MS),
        signal: abort.signal,
      });
    } catch (error) {
      assert.ok(isTransportError(error), String(error));
      if (error.phase === 'beforeFirstByte') unsent.push(`/${index}`);
    }
  };
  for (let wave = 0; wave < WAVE_COUNT; wave += 1) {
    const first = wave * WAVE_SIZE;
    const indexes = Array.from({length: WAVE_SIZE}, (_, i) => first + i);
    await Promise.all(indexes.map(sendOne));
  }
  const seen = server.requestLines.map(line => line.split(' ')[1]);
  assert.equal(new Set(seen).size, seen.length);
  assert.deepEqual(
    seen.filter(path => unsent.includes(path)),
    [],
  );
  assert.ok(seen.length > 0 && unsent.length > 0);
  t.diagnostic(`${seen.length} written, ${unsent.length} unsent`);
});
