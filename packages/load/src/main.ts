#!/usr/bin/env node
import {runMain} from 'citty';
import {loadCommand} from './commands/commands.js';

void runMain(loadCommand);
