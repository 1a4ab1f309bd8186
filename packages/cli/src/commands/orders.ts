import {randomUUID} from 'node:crypto';
import type {OrderPlan} from '@anvilrudder/peers';
import type {CliIo} from '../cli_io.js';
import {callFirst, type EntryClient} from '../entry_client.js';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';
import {formatTable} from '../format_table.js';

/** Options of `orders plan`. */
export interface OrdersPlanOptions {
  readonly planId: string | undefined;
  readonly engines: readonly string[];
  /** Versions, written as `model@version`. */
  readonly loaded: readonly string[];
  readonly isDraining: boolean;
  readonly why: string;
  readonly isJson: boolean;
}

/** Options of `orders cancel`. */
export interface OrdersCancelOptions {
  readonly planId: string;
  readonly why: string;
  readonly isJson: boolean;
}

/** Submits a plan that gives all the named engines the same target state. */
export async function runOrdersPlan(
  options: OrdersPlanOptions,
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  const {engines, loaded, isDraining, why} = options;
  const planId = options.planId ?? randomUUID();
  const states = engines.map(engine => ({engine, loaded, isDraining}));
  const {plan} = await callFirst(entries, entry =>
    entry.control.planOrders({
      planId,
      states: states.map(state => ({...state, loaded: [...state.loaded]})),
      why,
    }),
  );
  writePlan(plan, options.isJson, io);
  return EXIT_CODES.ok;
}

/** Prints the progress of the current plan. */
export async function runOrdersStatus(
  options: {readonly isJson: boolean},
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  const {plan} = await callFirst(entries, entry => entry.control.getOrders({}));
  writePlan(plan, options.isJson, io);
  return EXIT_CODES.ok;
}

/** Cancels the orders of a plan that have not been applied. */
export async function runOrdersCancel(
  options: OrdersCancelOptions,
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  const {planId, why} = options;
  const {plan} = await callFirst(entries, entry =>
    entry.control.cancelOrders({planId, why}),
  );
  writePlan(plan, options.isJson, io);
  return EXIT_CODES.ok;
}

function writePlan(
  plan: OrderPlan | undefined,
  isJson: boolean,
  io: CliIo,
): void {
  if (plan === undefined) {
    io.writeOutput(isJson ? 'null\n' : 'no plan\n');
    return;
  }
  const {planId, planned, applied, cancelled} = plan;
  if (isJson) {
    io.writeOutput(
      `${JSON.stringify({planId, planned, applied, cancelled})}\n`,
    );
    return;
  }
  const header = ['plan', 'planned', 'applied', 'cancelled'];
  const row = [planId, String(planned), String(applied), String(cancelled)];
  io.writeOutput(formatTable(header, [row]));
}
