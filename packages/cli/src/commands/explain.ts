import {
  CHOSEN,
  explainOptions,
  formatModelVersion,
  formatPercent,
} from '@anvilrudder/core';
import {CliError} from '../cli_error.js';
import type {CliIo} from '../cli_io.js';
import {callFirst, type EntryClient} from '../entry_client.js';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';
import {formatTable, replaceControlCharacters} from '../format_table.js';
import {formatFindings, readRuleFile} from '../rule_file.js';

/** Options of `explain`. */
export interface ExplainOptions {
  readonly organisation: string;
  readonly kind: string;
  readonly isJson: boolean;
}

interface RuleView {
  readonly line: number;
  readonly text: string;
  readonly who: string;
  readonly why: string;
}

interface OptionView {
  readonly model: string;
  readonly version: string;
  readonly costPerMtok: number;
  readonly quality: number;
  readonly share: number;
  readonly verdict: string;
  readonly rules: readonly RuleView[];
}

interface ExplanationView {
  /** Undefined if a file is explained. */
  readonly revision: number | undefined;
  readonly options: readonly OptionView[];
}

const HEADER = ['version', 'cost/Mtok', 'quality', 'share', 'verdict'];

/** Explains the choice under the rules in force on an entry. */
export async function runExplain(
  options: ExplainOptions,
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  const {organisation, kind} = options;
  const answer = await callFirst(entries, ({control}) =>
    control.explain({organisation, kind}),
  );
  const revision = Number(answer.revision);
  return printExplanation(options, {revision, options: answer.options}, io);
}

/** Explains the choice under a rule file, without calling an entry. */
export async function runExplainFile(
  options: ExplainOptions,
  path: string,
  io: CliIo,
): Promise<ExitCode> {
  const {rules, text, findings} = await readRuleFile(path, io);
  if (rules === undefined) {
    throw CliError.create(
      formatFindings(path, findings).trimEnd(),
      EXIT_CODES.refused,
    );
  }
  const explanation = explainOptions(rules, text, options);
  return printExplanation(
    options,
    {revision: undefined, options: explanation.options},
    io,
  );
}

function printExplanation(
  {isJson}: ExplainOptions,
  view: ExplanationView,
  io: CliIo,
): ExitCode {
  io.writeOutput(isJson ? formatJson(view) : formatText(view));
  const hasChoice = view.options.some(({verdict}) => verdict === CHOSEN);
  return hasChoice ? EXIT_CODES.ok : EXIT_CODES.refused;
}

function formatText({revision, options}: ExplanationView): string {
  const revisionLine = revision === undefined ? '' : `revision ${revision}\n`;
  const rows = options.map(option => [
    formatModelVersion(option),
    String(option.costPerMtok),
    String(option.quality),
    formatPercent(option.share),
    option.verdict,
  ]);
  const rules = options.flatMap(option => [
    `\n${formatModelVersion(option)}\n`,
    ...option.rules.map(formatRule),
  ]);
  return revisionLine + formatTable(HEADER, rows) + rules.join('');
}

function formatRule({line, text, who, why}: RuleView): string {
  return `${replaceControlCharacters(`  line ${line}: ${text} # ${who}: ${why}`)}\n`;
}

function formatJson({revision, options}: ExplanationView): string {
  const json = {
    revision: revision ?? null,
    options: options.map(option => ({
      model: option.model,
      version: option.version,
      costPerMtok: option.costPerMtok,
      quality: option.quality,
      share: option.share,
      verdict: option.verdict,
      rules: option.rules.map(({line, text, who, why}) => ({
        line,
        text,
        who,
        why,
      })),
    })),
  };
  return `${JSON.stringify(json)}\n`;
}
