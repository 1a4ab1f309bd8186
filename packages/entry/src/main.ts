#!/usr/bin/env node
import {runMain} from 'citty';
import {entryCommand} from './cli/entry_command.js';

void runMain(entryCommand);
