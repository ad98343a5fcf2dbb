/** The status of the entries. */
import {Command} from 'clipanion';
import {HttpOutcome, sendHttpRequest} from '@citrontrestle/runtime';
import {Exit, PlatformCommand} from './base_command.js';
import type {CtlSettings} from './settings.js';
import type {KeyValueClient} from '@citrontrestle/platform';

interface Row {
  address: string;
  /** The entry's own answer, or undefined when it gave none. */
  status?: Record<string, unknown>;
}

/** Shows what each entry says of itself. */
export class StatusCommand extends PlatformCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description: 'Show generation, peers, shares and upstreams of each entry.',
  });

  protected override async run(
    _keyValue: KeyValueClient,
    settings: CtlSettings,
  ): Promise<number> {
    const rows = await Promise.all(
      settings.entries.map(address => ask(address, settings)),
    );
    this.print(rows, rows.flatMap(describe));
    const silent = rows.some(row => row.status === undefined);
    return silent ? Exit.Unavailable : Exit.Done;
  }
}

async function ask(address: string, settings: CtlSettings): Promise<Row> {
  const result = await sendHttpRequest({
    address,
    method: 'GET',
    path: '/status',
    headers: {authorization: `Bearer ${settings.token}`},
    timeout: settings.timeoutMs,
  });
  if (result.outcome !== HttpOutcome.Answered || result.status !== 200) {
    return {address};
  }
  const status = JSON.parse(result.body.toString('utf8')) as Row['status'];
  return status === undefined ? {address} : {address, status};
}

function describe(row: Row): string[] {
  const {address, status} = row;
  if (status === undefined) {
    return [`${address}  no answer`];
  }
  const count = (field: string) => {
    const value = status[field];
    return Array.isArray(value) ? value.length : 0;
  };
  const state = status['draining']
    ? 'draining'
    : status['ready']
      ? 'ready'
      : 'starting';
  return [
    `${address}  ${String(status['instance'])}  ${state}  ` +
      `generation ${String(status['generation'])}  ` +
      `peers ${count('peers')}  shares ${count('shares')}  ` +
      `upstreams ${count('upstreams')}  running ${String(status['running'])}`,
  ];
}
