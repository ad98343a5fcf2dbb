/** Virtual time: what is to happen, in order. */
import {ManualClock} from '@citrontrestle/decisions';
import type {Clock, Millis} from '@citrontrestle/decisions';

interface ScheduledAction {
  time: Millis;
  sequence: number;
  action: () => void;
}

/** Runs scheduled acts in the order of their times. */
export class Timeline implements Clock {
  private readonly clock = new ManualClock(1_000_000);
  private scheduled: ScheduledAction[] = [];
  private nextSequence = 0;

  now(): Millis {
    return this.clock.now();
  }

  /** Schedules an act after `wait` milliseconds. */
  after(delay: Millis, action: () => void): void {
    const added = {
      time: this.now() + delay,
      sequence: this.nextSequence,
      action,
    };
    this.nextSequence += 1;
    let index = this.scheduled.length;
    while (
      index > 0 &&
      (this.scheduled[index - 1] as ScheduledAction).time > added.time
    ) {
      index -= 1;
    }
    this.scheduled.splice(index, 0, added);
  }

  /** Lets `span` milliseconds pass. */
  advance(span: Millis): void {
    const end = this.now() + span;
    for (;;) {
      const next = this.scheduled[0];
      if (next === undefined || next.time > end) {
        break;
      }
      this.scheduled.shift();
      this.clock.moveTo(next.time);
      next.action();
    }
    this.clock.moveTo(end);
  }
}
