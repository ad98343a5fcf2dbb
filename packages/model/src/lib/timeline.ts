/** Virtual time with a scheduler, which makes the models deterministic. */
import {ManualClock} from '@citrontrestle/decisions';
import type {Clock, Millis} from '@citrontrestle/decisions';

/** An action and the time at which it is due. */
interface ScheduledAction {
  time: Millis;
  /** Position in the order of scheduling. */
  sequence: number;
  action: () => void;
}

/**
 * Runs scheduled actions in the order of their times; those of the same time run
 * in the order in which they were scheduled.
 */
export class Timeline implements Clock {
  private readonly clock = new ManualClock(1_000_000);
  private scheduled: ScheduledAction[] = [];
  private nextSequence = 0;

  /** Returns the virtual time. */
  now(): Millis {
    return this.clock.now();
  }

  /** Schedules an action to run after `delay` milliseconds. */
  after(delay: Millis, action: () => void): void {
    const newAction = {
      time: this.now() + delay,
      sequence: this.nextSequence,
      action,
    };
    this.nextSequence += 1;
    let index = this.scheduled.length;
    while (
      index > 0 &&
      (this.scheduled[index - 1] as ScheduledAction).time > newAction.time
    ) {
      index -= 1;
    }
    this.scheduled.splice(index, 0, newAction);
  }

  /** Lets `span` milliseconds pass and runs the actions that are due in them. */
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
