import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {test} from 'node:test';
import {
  parseModels,
  parseNumber,
  parseQualityTable,
} from '../../src/commands/parse_args.js';
import {sendRequest} from '../support/http.js';

const MAIN = fileURLToPath(new URL('../../src/main.js', import.meta.url));

test('the command prints its address, serves requests and stops on SIGTERM', async () => {
  const child = spawn(
    process.execPath,
    [MAIN, 'engine', '--loaded', 'quick@v1', '--slots', '3'],
    {stdio: ['ignore', 'pipe', 'inherit']},
  );
  const lines = createInterface({input: child.stdout});
  const [line] = (await once(lines, 'line')) as [string];
  const address = /^listening address=(127\.0\.0\.1:\d+)$/.exec(line)?.[1];
  assert.ok(address, line);
  const {body} = await sendRequest(address, 'GET', '/v1/load');
  assert.equal(body.slots, 3);
  child.kill('SIGTERM');
  assert.deepEqual(await once(child, 'exit'), [0, null]);
});

test('lists of models, qualities and numbers are parsed; invalid ones throw', () => {
  assert.deepEqual(parseModels('a@1,b@2'), [
    {model: 'a', version: '1'},
    {model: 'b', version: '2'},
  ]);
  assert.deepEqual(parseQualityTable('a@1=0.5'), {'a@1': 0.5});
  assert.throws(() => parseModels('a'));
  assert.throws(() => parseQualityTable('a@1'));
  assert.throws(() => parseNumber('-1'));
});
