import {createServer, type Server} from 'node:http';
import type {MetricRegistry} from '@anvilrudder/observability';

const READY = 200;
const NOT_READY = 503;

/**
 * Creates a server that reports whether this host accepts new connections: 200
 * or 503, regardless of the path.
 */
export function createReadinessServer(isReady: () => boolean): Server {
  return createServer((message, response) => {
    message.resume();
    response.writeHead(isReady() ? READY : NOT_READY, {'content-length': 0});
    response.end();
  });
}

/** Creates a server that exposes the metrics in the Prometheus text format. */
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
