import {measurePart} from './process_part.js';

const memory = await measurePart(process.argv[2] ?? '');
process.stdout.write(JSON.stringify(memory), () => process.exit(0));
