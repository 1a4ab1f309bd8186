export * from './create_server.js';
export * from './file_watcher.js';
export * from './require_peer_certificate.js';
export * from './start_tls.js';
export * from './tls_material.js';
export * from './tls_source.js';
