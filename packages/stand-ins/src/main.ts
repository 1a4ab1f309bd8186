#!/usr/bin/env node
import {runMain} from 'citty';
import {standInCommand} from './commands/commands.js';

void runMain(standInCommand);
