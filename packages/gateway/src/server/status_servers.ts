import {createServer, type Server} from 'node:http';
import type {MetricRegistry} from '@anvilrudder/observability';

const READY = 200;
const NOT_READY = 503;

/**
 * Answers whether this host takes new connections; every path is the same
 * question.
 */
export function createReadinessServer(isReady: () => boolean): Server {
  return createServer((message, response) => {
    message.resume();
    response.writeHead(isReady() ? READY : NOT_READY, {'content-length': 0});
    response.end();
  });
}

/** Serves the metrics as text. */
export function createMetricsServer(metrics: MetricRegistry): Server {
  return createServer((message, response) => {
    message.resume();
    const body = metrics.formatText();
    response.writeHead(READY, {
      'content-type': 'text/plain; version=0.0.4',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  });
}
