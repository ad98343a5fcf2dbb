/** Tables for a person. */
import type {RunResult} from './experiment.js';

/** Lines of a table with aligned columns; the first row is the head. */
export function table(rows: (string | number)[][]): string[] {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map(row => String(row[column] ?? '').length)),
  );
  return rows.map(row =>
    row
      .map((cell, column) => {
        const text = String(cell);
        const width = widths[column] ?? 0;
        return column === 0 ? text.padEnd(width) : text.padStart(width);
      })
      .join('  '),
  );
}

function target(span: number): string {
  return span === 0 ? '-' : String(span);
}

/** Lines for one run: classes, budgets, promises. */
export function describeRun(result: RunResult): string[] {
  const {verdict, policies} = result;
  const classes = verdict.classes.map(one => [
    one.name,
    one.asked,
    one.answered,
    one.refused,
    one.failed,
    `${(one.inTarget * 100).toFixed(1)}%`,
    `${one.firstTokenMs.p50}/${one.firstTokenMs.p95}`,
    target(one.firstTokenTarget),
    `${one.wholeMs.p50}/${one.wholeMs.p95}`,
    target(one.wholeTarget),
  ]);
  const budgets = verdict.budgets.map(one => [
    one.name,
    one.granted,
    one.billed,
    one.out,
    one.refused,
    `${(one.usable * 100).toFixed(1)}%`,
  ]);
  return [
    `budget policy ${policies.budget}, routing policy ${policies.routing}`,
    '',
    ...table([
      [
        'class',
        'asked',
        'answered',
        'refused',
        'failed',
        'in target',
        'first ms p50/p95',
        'target',
        'whole ms p50/p95',
        'target',
      ],
      ...classes,
    ]),
    '',
    ...table([
      ['budget', 'granted', 'billed', 'held', 'refused', 'usable'],
      ...budgets,
    ]),
    '',
    ...promises(result),
  ];
}

function promises({verdict, keyValueCalls, callsPerRequest}: RunResult) {
  const {reads, writes, watches} = keyValueCalls;
  return [
    `overspend ${verdict.overspendTokens} tokens, ` +
      `false refusals ${verdict.falseRefusals}, ` +
      `billed twice ${verdict.billedTwice}, ` +
      `unbilled ${verdict.unbilledTokens} tokens`,
    `ran twice ${verdict.ranTwice}, ` +
      `ran after "not run" ${verdict.ranAfterNotRun}, ` +
      `foreign answers ${verdict.foreignAnswers}, ` +
      `truncated as whole ${verdict.truncatedAsWhole}`,
    `key-value calls: ${reads} reads, ${writes} writes, ${watches} watches ` +
      `(${callsPerRequest.toFixed(3)} a request)`,
  ];
}
