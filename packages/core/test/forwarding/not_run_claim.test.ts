import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  checkStatusClaim,
  classifyResponse,
  ERROR_DEFINITIONS,
  isProvenNotRun,
  isRouterError,
  claimsNotRun,
  withholdUnprovenClaim,
  RouterError,
  type AttemptEnd,
  type ErrorCode,
  type ResponseClaims,
} from '../../src/index.js';

const STATUS = fc.integer({min: 200, max: 599});
const ERROR_CODES = Object.keys(ERROR_DEFINITIONS) as ErrorCode[];

const ANSWER: ResponseClaims = {
  status: 200,
  isForRequest: true,
  isNotRun: false,
  asksForPause: false,
  isSigned: true,
  isEncoded: false,
};

interface Case extends Partial<ResponseClaims> {
  readonly end: AttemptEnd;
}

const CASES: readonly Case[] = [
  {status: 200, end: 'answered'},
  {status: 200, isSigned: false, end: 'garbled'},
  {status: 200, isEncoded: true, end: 'garbled'},
  {status: 200, isForRequest: false, end: 'garbled'},
  {status: 404, isSigned: false, end: 'answered'},
  {status: 408, end: 'unprovenRejection'},
  {status: 408, isNotRun: true, end: 'rejected'},
  {status: 421, end: 'replaced'},
  {status: 421, isForRequest: false, end: 'garbled'},
  {status: 429, end: 'unprovenRejection'},
  {status: 429, isNotRun: true, end: 'rejected'},
  {status: 500, end: 'failed'},
  {status: 500, isNotRun: true, end: 'rejected'},
  {status: 502, end: 'failed'},
  {status: 503, end: 'unprovenRejection'},
  {status: 503, asksForPause: true, end: 'unprovenRejection'},
  {status: 503, isNotRun: true, end: 'rejected'},
  {status: 503, isNotRun: true, asksForPause: true, end: 'paused'},
  {status: 503, isNotRun: true, isForRequest: false, end: 'garbled'},
  {status: 504, end: 'failed'},
];

for (const {end, ...claims} of CASES) {
  test(`a response with ${JSON.stringify(claims)} ends its send as "${end}"`, () => {
    assert.equal(classifyResponse({...ANSWER, ...claims}), end);
  });
}

test('only the statement of a server, or the status of a wrong one, proves that a request has not run', () => {
  const claims = fc.record<ResponseClaims>({
    status: STATUS,
    isForRequest: fc.boolean(),
    isNotRun: fc.boolean(),
    asksForPause: fc.boolean(),
    isSigned: fc.boolean(),
    isEncoded: fc.boolean(),
  });
  fc.assert(
    fc.property(claims, response => {
      const isProof = response.isNotRun || response.status === 421;
      assert.equal(
        isProvenNotRun(classifyResponse(response)),
        response.isForRequest && isProof,
      );
    }),
    {seed: 60},
  );
});

// Guards against a promise of "not run" that reaches a caller without proof.
test('a status goes to a caller unless it promises more than is proven', () => {
  fc.assert(
    fc.property(STATUS, fc.boolean(), (status, mayHaveRun) => {
      let code: ErrorCode | undefined;
      try {
        checkStatusClaim(status, mayHaveRun);
      } catch (error) {
        code = isRouterError(error) ? error.code : 'internal';
      }
      const isWithheld = mayHaveRun && [408, 421, 429, 503].includes(status);
      assert.equal(code, isWithheld ? 'outcome_unknown' : undefined);
    }),
    {seed: 60},
  );
});

for (const code of ERROR_CODES) {
  const error = RouterError.create('It did not run.', {code});
  test(`the error ${code} goes to a caller unless it promises more than is proven`, () => {
    assert.equal(withholdUnprovenClaim(error, false), error);
    const resolved = withholdUnprovenClaim(error, true);
    assert.notEqual(resolved.execution, 'notRun');
    const {httpStatus} = ERROR_DEFINITIONS[resolved.code];
    assert.equal(claimsNotRun(httpStatus), false);
  });
}

test('every error whose status promises that a request has not run says so in its body', () => {
  for (const code of ERROR_CODES) {
    const {httpStatus, execution} = ERROR_DEFINITIONS[code];
    if (claimsNotRun(httpStatus)) assert.equal(execution, 'notRun', code);
  }
});
