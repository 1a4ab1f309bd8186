import {connect} from 'node:net';
import type {ProbeResult} from '@anvilrudder/core';

/** Times of a probe, in milliseconds. */
export interface ProbeTimes {
  /** Time after which the address counts as unreachable. */
  readonly timeoutMs: number;
  /** Time for which the connection must stay open. Default 0. */
  readonly holdMs?: number;
}

const REFUSED_CODE = 'ECONNREFUSED';

/**
 * Tries whether a connection to an address can be made and stays open for a time,
 * and closes it.
 *
 * @param address `ip:port`.
 * @example
 * ```ts
 * await probeConnection('10.0.0.1:80', {timeoutMs: 300, holdMs: 20}); // 'kept'
 * ```
 */
export function probeConnection(
  address: string,
  {timeoutMs, holdMs = 0}: ProbeTimes,
): Promise<ProbeResult> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port)});
    let isConnected = false;
    const finish = (result: ProbeResult): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    let timer = setTimeout(() => finish('unanswered'), timeoutMs);
    socket.once('connect', () => {
      isConnected = true;
      clearTimeout(timer);
      if (holdMs === 0) finish('kept');
      else timer = setTimeout(() => finish('kept'), holdMs);
    });
    socket.once('end', () => finish('closed'));
    socket.once('error', (error: NodeJS.ErrnoException) => {
      if (isConnected) finish('closed');
      else finish(error.code === REFUSED_CODE ? 'refused' : 'unanswered');
    });
    // Without a reader the end is never seen.
    socket.resume();
  });
}
