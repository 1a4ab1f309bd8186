import assert from 'node:assert/strict';
import {test} from 'node:test';
import {canContinueStream, followsEvent} from '../../src/index.js';

const FIRST = {status: 200, contentType: 'text/event-stream'};

const HEADS = [
  {status: 200, contentType: 'text/event-stream', isContinuation: true},
  {
    status: 200,
    contentType: 'Text/Event-Stream; charset=utf-8',
    isContinuation: true,
  },
  {status: 200, contentType: 'application/json', isContinuation: false},
  {status: 200, contentType: undefined, isContinuation: false},
  {status: 206, contentType: 'text/event-stream', isContinuation: false},
  {status: 500, contentType: 'text/event-stream', isContinuation: false},
] as const;

for (const {isContinuation, ...head} of HEADS) {
  test(`a response with status ${head.status} and type ${head.contentType} ${isContinuation ? 'continues' : 'does not continue'} a stream`, () => {
    assert.equal(canContinueStream(FIRST, head), isContinuation);
  });
}

const EVENTS = [
  {lastId: '12', nextId: '13', isNext: true},
  {lastId: '9', nextId: '10', isNext: true},
  {lastId: '12', nextId: '15', isNext: true},
  {lastId: '12', nextId: '12', isNext: false},
  {lastId: '12', nextId: '1', isNext: false},
  {lastId: '12', nextId: undefined, isNext: false},
  {lastId: undefined, nextId: '1', isNext: true},
  {lastId: 'b', nextId: 'a', isNext: true},
  {lastId: 'b', nextId: 'b', isNext: false},
] as const;

for (const {lastId, nextId, isNext} of EVENTS) {
  test(`event ${nextId} ${isNext ? 'follows' : 'does not follow'} event ${lastId}`, () => {
    assert.equal(followsEvent(lastId, nextId), isNext);
  });
}
