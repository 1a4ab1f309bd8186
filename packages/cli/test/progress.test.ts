import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createProgress} from '../src/progress.js';
import {createFakeIo} from './fake_io.js';

interface ProgressCase {
  readonly name: string;
  readonly isTerminal: boolean;
  readonly isForced: boolean;
  readonly expected: RegExp;
}

const CASES: readonly ProgressCase[] = [
  {
    name: 'rewrites one line on a terminal',
    isTerminal: true,
    isForced: false,
    // eslint-disable-next-line no-control-regex
    expected: /^(\r\u001b\[Kwaiting \(\d+ s\)){2}\r\u001b\[K$/,
  },
  {
    name: 'prints a line per second if it is forced',
    isTerminal: false,
    isForced: true,
    expected: /^(waiting \(\d+ s\)\n){2}$/,
  },
  {
    name: 'prints nothing otherwise',
    isTerminal: false,
    isForced: false,
    expected: /^$/,
  },
];

for (const {name, isTerminal, isForced, expected} of CASES) {
  test(`progress ${name}`, t => {
    t.mock.timers.enable({apis: ['setInterval']});
    const io = createFakeIo({}, {}, isTerminal);
    const progress = createProgress(io, isForced);
    progress.update('waiting');
    assert.equal(io.errors, '');
    t.mock.timers.tick(2000);
    progress.stop();
    t.mock.timers.tick(5000);
    assert.match(io.errors, expected);
  });
}
