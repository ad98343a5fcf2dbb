/** Command that shows the status of the entries. */
import {Command} from 'clipanion';
import {HttpOutcome, sendHttpRequest} from '@citrontrestle/runtime';
import {ExitCode, PlatformCommand} from './base_command.js';
import type {CtlSettings} from './settings.js';
import type {KeyValueClient} from '@citrontrestle/platform';

/** Result of one status request; printed as JSON. */
interface StatusResult {
  address: string;
  /** Status as sent by the entry; undefined if the request failed. */
  status?: Record<string, unknown>;
}

/** Requests and prints the status of each entry in the settings. */
export class StatusCommand extends PlatformCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description:
      'Show state, generation, peers, shares and upstreams of each entry.',
  });

  protected override async run(
    _keyValue: KeyValueClient,
    settings: CtlSettings,
  ): Promise<number> {
    const results = await Promise.all(
      settings.entries.map(address => fetchStatus(address, settings)),
    );
    this.print(results, results.flatMap(formatStatus));
    const hasUnavailableEntry = results.some(
      result => result.status === undefined,
    );
    return hasUnavailableEntry ? ExitCode.Unavailable : ExitCode.Success;
  }
}

async function fetchStatus(
  address: string,
  settings: CtlSettings,
): Promise<StatusResult> {
  const response = await sendHttpRequest({
    address,
    method: 'GET',
    path: '/status',
    headers: {authorization: `Bearer ${settings.token}`},
    timeout: settings.timeoutMs,
  });
  if (response.outcome !== HttpOutcome.Answered || response.status !== 200) {
    return {address};
  }
  const status = JSON.parse(
    response.body.toString('utf8'),
  ) as StatusResult['status'];
  return status === undefined ? {address} : {address, status};
}

function formatStatus(result: StatusResult): string[] {
  const {address, status} = result;
  if (status === undefined) {
    return [`${address}  status unavailable`];
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
