/** Virtual time: what is to happen, in order. */
import {ManualClock} from '@citrontrestle/decisions';
import type {Clock, Millis} from '@citrontrestle/decisions';

interface Item {
  at: Millis;
  order: number;
  act: () => void;
}

/** Runs scheduled acts in the order of their times. */
export class Timeline implements Clock {
  private readonly clock = new ManualClock(1_000_000);
  private items: Item[] = [];
  private order = 0;

  now(): Millis {
    return this.clock.now();
  }

  /** Schedules an act after `wait` milliseconds. */
  after(wait: Millis, act: () => void): void {
    const item = {at: this.now() + wait, order: this.order, act};
    this.order += 1;
    let index = this.items.length;
    while (index > 0 && (this.items[index - 1] as Item).at > item.at) {
      index -= 1;
    }
    this.items.splice(index, 0, item);
  }

  /** Lets `span` milliseconds pass. */
  advance(span: Millis): void {
    const until = this.now() + span;
    for (;;) {
      const next = this.items[0];
      if (next === undefined || next.at > until) {
        break;
      }
      this.items.shift();
      this.clock.moveTo(next.at);
      next.act();
    }
    this.clock.moveTo(until);
  }
}
