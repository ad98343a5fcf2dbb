/** Formats results as text tables. */
import type {RunResult} from './experiment.js';

/**
 * Returns the lines of a table; the first row is the header. The first column
 * is aligned left, the others right.
 */
export function formatTable(rows: (string | number)[][]): string[] {
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

function formatTarget(duration: number): string {
  return duration === 0 ? '-' : String(duration);
}

/** Returns the lines that describe a run: classes, budgets and guarantees. */
export function describeRun(result: RunResult): string[] {
  const {verdict, policies} = result;
  const classes = verdict.classes.map(row => [
    row.name,
    row.asked,
    row.answered,
    row.refused,
    row.failed,
    `${(row.inTarget * 100).toFixed(1)}%`,
    `${row.firstTokenMs.p50}/${row.firstTokenMs.p95}`,
    formatTarget(row.firstTokenTarget),
    `${row.wholeMs.p50}/${row.wholeMs.p95}`,
    formatTarget(row.wholeTarget),
  ]);
  const budgets = verdict.budgets.map(row => [
    row.name,
    row.granted,
    row.billed,
    row.out,
    row.refused,
    `${(row.usable * 100).toFixed(1)}%`,
  ]);
  return [
    `budget policy ${policies.budget}, routing policy ${policies.routing}`,
    '',
    ...formatTable([
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
    ...formatTable([
      ['budget', 'granted', 'billed', 'held', 'refused', 'usable'],
      ...budgets,
    ]),
    '',
    ...formatGuarantees(result),
  ];
}

function formatGuarantees({
  verdict,
  keyValueCalls,
  callsPerRequest,
}: RunResult) {
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
