import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  chooseCallerEnd,
  isEventStream,
  judgeResponseEnd,
  StreamProgress,
  type BodyFraming,
  type EventEvidence,
  type ResponseVerdict,
} from '../../src/index.js';

const FRAMINGS: readonly BodyFraming[] = ['length', 'chunks', 'connection'];
const NO_EVENT: EventEvidence = {hasWhole: false, hasOutstanding: false};
const WHOLE_EVENTS: EventEvidence = {hasWhole: true, hasOutstanding: false};
const HALF_EVENT: EventEvidence = {hasWhole: true, hasOutstanding: true};

interface Judgement {
  readonly title: string;
  readonly hasFailed: boolean;
  readonly events: EventEvidence | undefined;
  readonly framed: ResponseVerdict;
  readonly open: ResponseVerdict;
}

const JUDGEMENTS: readonly Judgement[] = [
  {
    title: 'a document',
    hasFailed: false,
    events: undefined,
    framed: 'complete',
    open: 'complete',
  },
  {
    title: 'a document that failed',
    hasFailed: true,
    events: undefined,
    framed: 'broken',
    open: 'broken',
  },
  {
    title: 'a stream of whole events',
    hasFailed: false,
    events: WHOLE_EVENTS,
    framed: 'complete',
    open: 'complete',
  },
  {
    title: 'a stream that failed between events',
    hasFailed: true,
    events: WHOLE_EVENTS,
    framed: 'broken',
    open: 'broken',
  },
  {
    title: 'a stream without an event',
    hasFailed: false,
    events: NO_EVENT,
    framed: 'complete',
    open: 'broken',
  },
  {
    title: 'a stream with an outstanding event',
    hasFailed: false,
    events: HALF_EVENT,
    framed: 'broken',
    open: 'broken',
  },
];

for (const {title, hasFailed, events, framed, open} of JUDGEMENTS) {
  for (const framing of FRAMINGS) {
    const verdict = framing === 'connection' ? open : framed;
    test(`${title} is ${verdict} if its end is marked by: ${framing}`, () => {
      assert.equal(judgeResponseEnd({framing, hasFailed, events}), verdict);
    });
  }
}

test('a broken response never ends in order for its caller', () => {
  assert.equal(chooseCallerEnd('complete', 'chunks'), 'finish');
  assert.equal(chooseCallerEnd('broken', 'chunks'), 'cut');
  assert.equal(chooseCallerEnd('broken', 'length'), 'cut');
  assert.equal(chooseCallerEnd('complete', 'connection'), 'finish');
  assert.equal(chooseCallerEnd('broken', 'connection'), 'reset');
});

const CUT = {framing: 'connection', hasFailed: false} as const;
const FRAMED_END = {
  framing: 'chunks',
  hasFailed: false,
  incompleteBytes: 0,
} as const;

test('an event that one server has begun is outstanding until it arrives whole', () => {
  const progress = StreamProgress.create(undefined);
  progress.beginPart();
  progress.recordEvents('2');
  assert.equal(progress.judgeEnd({...CUT, incompleteBytes: 7}), 'broken');
  progress.beginPart();
  assert.equal(progress.judgeEnd(FRAMED_END), 'broken');
  progress.beginPart();
  assert.equal(progress.isNext('2'), false);
  assert.equal(progress.isNext('3'), true);
  progress.recordEvents('3');
  assert.equal(progress.judgeEnd(FRAMED_END), 'complete');
  assert.equal(progress.lastEventId, '3');
});

test('an empty rest of a stream is complete only if its framing says so', () => {
  const progress = StreamProgress.create('4');
  progress.beginPart();
  assert.equal(progress.judgeEnd({...CUT, incompleteBytes: 0}), 'broken');
  assert.equal(progress.judgeEnd(FRAMED_END), 'complete');
});

const HEADS = [
  {status: 200, contentType: 'text/event-stream', onRoute: true, other: true},
  {
    status: 201,
    contentType: 'Text/Event-Stream;a=b',
    onRoute: true,
    other: true,
  },
  {status: 200, contentType: undefined, onRoute: true, other: false},
  {status: 200, contentType: 'application/json', onRoute: false, other: false},
  {status: 204, contentType: undefined, onRoute: false, other: false},
  {status: 500, contentType: 'text/event-stream', onRoute: false, other: false},
] as const;

for (const {onRoute, other, ...head} of HEADS) {
  test(`status ${head.status} and type ${head.contentType} mean events on a streaming route: ${onRoute}, elsewhere: ${other}`, () => {
    assert.equal(isEventStream(head, true), onRoute);
    assert.equal(isEventStream(head, false), other);
  });
}
