import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RULES_EVENT_LEVELS} from '../../src/control/rules_events.js';
import {readCodeSpans, readTableRows} from './doc_tables.js';
import {listSourceCalls, readUnion, type SourceCall} from './source_calls.js';

const PAGE_PATH = 'docs/api/logs_and_metrics.md';
const LEVELS = ['debug', 'info', 'warn', 'error'];
const METRIC_TYPES: ReadonlyMap<string, string> = new Map([
  ['count', 'counter'],
  ['recordMs', 'summary'],
  ['registerGauge', 'gauge'],
]);
const RULES_EVENTS_FILE =
  'packages/entry/src/control/acceptance/rules_manager_options.ts';
const RULES_EVENT_FIELDS = ['changeId', 'revision', 'who', 'why', 'detail'];
const CERTIFICATE_FIELDS = ['use', 'names', 'validTo'];
const TLS_SOURCE_FOLDER = 'packages/entry/src/tls';

const ROWS = readTableRows(PAGE_PATH);
const EVENT_ROWS = ROWS.filter(cells => LEVELS.includes(cells[1]));
const METRIC_ROWS = ROWS.filter(cells =>
  [...METRIC_TYPES.values()].includes(cells[1]),
);

/** Lists the events whose name is no literal in the call of the logger. */
function listComputedEvents(): readonly SourceCall[] {
  const levels: Readonly<Record<string, string>> = RULES_EVENT_LEVELS;
  const rulesManager = readUnion(RULES_EVENTS_FILE, 'kind').map(kind => ({
    method: levels[kind],
    name: kind.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`),
    isComputed: true,
    keys: RULES_EVENT_FIELDS,
  }));
  const certificates = [
    ...listSourceCalls('this', ['log'], TLS_SOURCE_FOLDER),
    ...listSourceCalls('source', ['log'], TLS_SOURCE_FOLDER),
  ].map(({name}) => ({
    method: 'info',
    name,
    isComputed: true,
    keys: CERTIFICATE_FIELDS,
  }));
  return [...rulesManager, ...certificates];
}

function listEvents(): readonly SourceCall[] {
  const direct = listSourceCalls('logger', LEVELS);
  assert.deepEqual(
    direct
      .filter(({isComputed}) => isComputed)
      .map(({name}) => name)
      .sort(),
    ['event'],
    'add the names of a new computed event to listComputedEvents',
  );
  return [
    ...direct.filter(({isComputed}) => !isComputed),
    ...listComputedEvents(),
  ];
}

test('each row of the page is an event or a metric', () => {
  assert.equal(EVENT_ROWS.length + METRIC_ROWS.length, ROWS.length);
});

test('the page lists each log event with its level, and no other', () => {
  const listed = EVENT_ROWS.map(
    cells => `${readCodeSpans(cells[0])[0]} ${cells[1]}`,
  );
  const written = new Set(
    listEvents().map(({name, method}) => `${name} ${method}`),
  );
  assert.deepEqual([...listed].sort(), [...written].sort());
});

test('the page lists the fields of each log event', () => {
  const listed = new Map(
    EVENT_ROWS.map(cells => [
      readCodeSpans(cells[0])[0],
      readCodeSpans(cells[2]),
    ]),
  );
  for (const {name, keys} of listEvents()) {
    if (keys !== undefined) assert.deepEqual(listed.get(name), keys, name);
  }
});

test('the page lists each metric with its type and labels, and no other', () => {
  const listed = METRIC_ROWS.map(cells =>
    [
      readCodeSpans(cells[0])[0],
      cells[1],
      readCodeSpans(cells[3]).join(' '),
    ].join(' '),
  );
  const written = listSourceCalls('metrics', [...METRIC_TYPES.keys()]).map(
    ({method, name, keys}) => {
      const labels = method === 'registerGauge' ? [] : (keys ?? []);
      return [name, METRIC_TYPES.get(method), labels.join(' ')].join(' ');
    },
  );
  assert.deepEqual([...listed].sort(), [...new Set(written)].sort());
});

test('each metric has a unit and each row a description', () => {
  for (const cells of METRIC_ROWS) assert.notEqual(cells[2], '', cells[0]);
  for (const cells of ROWS) assert.notEqual(cells.at(-1), '', cells[0]);
});
