#!/usr/bin/env node
import {createProcessIo} from './cli_io.js';
import {runCli} from './run_cli.js';

process.exitCode = await runCli(process.argv.slice(2), createProcessIo());
