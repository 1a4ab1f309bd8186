/** Writes what a case has seen, and ends the case. */
import {writeFileSync} from 'node:fs';

const VERDICTS = [
  'the rule held',
  'the rule was broken',
  'the case did not run',
];

export class Recorder {
  #lines = [];

  /** @param file URL of the record. */
  constructor(file) {
    this.file = file;
  }

  line(text) {
    this.#lines.push(text);
  }

  save() {
    writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
  }
}

/**
 * Runs a case, ends what it has started, and exits with its verdict.
 *
 * @param play gets a list to which it adds functions that end what it starts;
 *     returns 0, 1 or 2.
 */
export async function runCase(record, play) {
  const cleanups = [];
  let verdict = 2;
  try {
    verdict = await play(cleanups);
  } catch (error) {
    record.line(`error: ${error.stack}`);
  }
  for (const clean of cleanups) await clean();
  const trouble = process.env.TROUBLE === '0' ? ' without the trouble' : '';
  record.line(`verdict: ${VERDICTS[verdict]}${trouble}`);
  record.save();
  console.log(`${VERDICTS[verdict]}${trouble}`);
  process.exit(verdict);
}
