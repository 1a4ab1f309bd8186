export type {CliIo} from './cli_io.js';
export * from './exit_codes.js';
export {runCli} from './run_cli.js';
