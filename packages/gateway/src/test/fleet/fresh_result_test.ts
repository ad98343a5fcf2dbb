/** A result must be of a run that began after it was asked for. */
import {expect} from 'chai';
import {FreshResult} from '../../lib/fleet/fresh_result.js';

describe('FreshResult', () => {
  it('shares the next run among all who ask during a run', async () => {
    const ends: Array<(result: number) => void> = [];
    const fresh = new FreshResult(
      () => new Promise<number>(resolve => ends.push(resolve)),
    );
    const first = fresh.get();
    const second = fresh.get();
    const third = fresh.get();
    expect(ends.length).to.equal(1);
    ends[0]?.(1);
    expect(await first).to.equal(1);
    expect(ends.length).to.equal(2);
    ends[1]?.(2);
    expect(await Promise.all([second, third])).to.deep.equal([2, 2]);
  });

  it('runs again after a run that failed', async () => {
    let runs = 0;
    const fresh = new FreshResult(async () => {
      runs += 1;
      await Promise.resolve();
      if (runs === 1) {
        throw new Error('failed');
      }
      return runs;
    });
    const first = fresh.get().catch(() => 'failed');
    const second = fresh.get();
    expect(await first).to.equal('failed');
    expect(await second).to.equal(2);
  });
});
