/** The status of the entries. */
import {Command} from 'clipanion';
import {HttpOutcome, sendHttpRequest} from '@citrontrestle/runtime';
import {ExitCode, PlatformCommand} from './base_command.js';
import type {CtlSettings} from './settings.js';
import type {KeyValueClient} from '@citrontrestle/platform';

interface EntryStatus {
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
    const entryStatuses = await Promise.all(
      settings.entries.map(address => fetchEntryStatus(address, settings)),
    );
    this.print(entryStatuses, entryStatuses.flatMap(formatEntryStatus));
    const hasUnavailableEntry = entryStatuses.some(
      entry => entry.status === undefined,
    );
    return hasUnavailableEntry ? ExitCode.Unavailable : ExitCode.Success;
  }
}

async function fetchEntryStatus(
  address: string,
  settings: CtlSettings,
): Promise<EntryStatus> {
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
  const status = JSON.parse(
    result.body.toString('utf8'),
  ) as EntryStatus['status'];
  return status === undefined ? {address} : {address, status};
}

function formatEntryStatus(entry: EntryStatus): string[] {
  const {address, status} = entry;
  if (status === undefined) {
    return [`${address}  no answer`];
  }
  const countItems = (field: string) => {
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
      `peers ${countItems('peers')}  shares ${countItems('shares')}  ` +
      `upstreams ${countItems('upstreams')}  running ${String(status['running'])}`,
  ];
}
