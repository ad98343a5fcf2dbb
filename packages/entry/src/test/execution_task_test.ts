/**
 * The caller is told "not run" while the first record is being written. The
 * confirmation of that write must not be taken for that of the last record.
 */
import {expect} from 'chai';
import {ExecutionStatus, ExecutionVerdict} from '@citrontrestle/decisions';
import {KeyValueOutcome} from '@citrontrestle/platform';
import {ExecutionTask} from '../lib/execution_task.js';
import type {ExecutionRecord} from '@citrontrestle/decisions';
import type {KeyValueClient} from '@citrontrestle/platform';

const CASES: [name: string, delay: number, verdict: ExecutionVerdict][] = [
  ['in time', 0, ExecutionVerdict.Run],
  ['too late', 60, ExecutionVerdict.NotRun],
];

describe('the record of an execution', () => {
  for (const [name, delay, expected] of CASES) {
    it(`says "${expected}" if the first write is confirmed ${name}`, async () => {
      const statuses: ExecutionStatus[] = [];
      const write = async (
        _key: string,
        at: number,
        record: ExecutionRecord,
      ) => {
        await new Promise(resolve => setTimeout(resolve, delay));
        statuses.push(record.status);
        return {outcome: KeyValueOutcome.Written, version: at + 1};
      };
      let finish: () => void = () => undefined;
      const finished = new Promise<void>(resolve => (finish = resolve));
      const context = {
        nonce: 'nonce',
        holder: 'holder',
        bodyDigest: 'body',
        startedAt: 0,
        isAlive: () => true,
      };
      const keyValue = {write} as unknown as KeyValueClient;
      const task = new ExecutionTask('id', context, keyValue, finish);
      const {verdict} = await task.start(20);
      if (verdict === ExecutionVerdict.Run) {
        await task.recordEnd(ExecutionStatus.Done);
      }
      await finished;
      expect(verdict).to.equal(expected);
      const {Done, NotRun, Started} = ExecutionStatus;
      const last = verdict === ExecutionVerdict.Run ? Done : NotRun;
      expect(statuses).to.deep.equal([Started, last]);
    });
  }
});
