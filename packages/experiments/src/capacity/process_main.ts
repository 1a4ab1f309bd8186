import {measureComponent} from './process_component.js';

const memory = await measureComponent(process.argv[2] ?? '');
process.stdout.write(JSON.stringify(memory), () => process.exit(0));
