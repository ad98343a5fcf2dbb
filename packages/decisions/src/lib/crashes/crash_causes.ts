/** Finds the traits of requests that explain why upstreams crashed. */
import type {Millis} from '../base/clock.js';

/**
 * Crashes after which traits that occur in the same crashes are all convicted;
 * with fewer, one more crash may tell them apart.
 */
const CRASHES_TO_CONVICT_ALL = 4;

/** A crash of one upstream process. */
export interface Crash {
  at: Millis;
  /** Traits of the requests that were lost in it, by request. */
  requests: Map<string, ReadonlySet<string>>;
}

/** Traits that may be the cause of crashes. */
interface Suspicion {
  traits: string[];
  /** Number of crashes in which all of them occur. */
  crashes: number;
}

/**
 * Returns the groups of traits that caused at least `minCrashes`, and removes
 * their crashes from `unexplained`. A crash has one cause: what is explained
 * is not held against others, such as those of requests that ran beside it.
 */
export function findCauses(
  unexplained: Map<string, Crash>,
  minCrashes: number,
  isConsidered: (trait: string) => boolean,
): string[][] {
  const causes: string[][] = [];
  for (;;) {
    const {traits, crashes} = strongestSuspicion(unexplained, isConsidered);
    if (crashes < minCrashes) {
      return causes;
    }
    const groups = groupsOf(traits, unexplained);
    const isCertain = crashes >= CRASHES_TO_CONVICT_ALL || groups.length === 1;
    if (!isCertain) {
      return causes;
    }
    causes.push(...groups);
    for (const upstream of crashesUnder(traits, unexplained)) {
      unexplained.delete(upstream);
    }
  }
}

/**
 * Returns one of the traits with the most crashes and all that occur in the same
 * crashes.
 */
function strongestSuspicion(
  crashes: ReadonlyMap<string, Crash>,
  isConsidered: (trait: string) => boolean,
): Suspicion {
  const upstreamsByTrait = new Map<string, string[]>();
  for (const [upstream, {requests}] of crashes) {
    const traits = new Set([...requests.values()].flatMap(lost => [...lost]));
    for (const trait of [...traits].filter(isConsidered)) {
      const upstreams = upstreamsByTrait.get(trait) ?? [];
      upstreams.push(upstream);
      upstreamsByTrait.set(trait, upstreams);
    }
  }
  let strongest: string[] = [];
  for (const upstreams of upstreamsByTrait.values()) {
    strongest = upstreams.length > strongest.length ? upstreams : strongest;
  }
  const key = strongest.join(' ');
  const traits = [...upstreamsByTrait]
    .filter(([, upstreams]) => upstreams.join(' ') === key)
    .map(([trait]) => trait);
  return {traits, crashes: strongest.length};
}

/**
 * Returns the distinct groups of traits to convict. The group of a trait is what
 * all the lost requests with that trait have in common.
 */
function groupsOf(
  traits: readonly string[],
  crashes: ReadonlyMap<string, Crash>,
): string[][] {
  const allRequests = [...crashes.values()].flatMap(({requests}) => [
    ...requests.values(),
  ]);
  const groups = new Map<string, string[]>();
  for (const trait of traits) {
    const requests = allRequests.filter(lost => lost.has(trait));
    const common = [...(requests[0] ?? [])].filter(other =>
      requests.every(lost => lost.has(other)),
    );
    groups.set(keyOf(common), common.sort());
  }
  return [...groups.values()];
}

/** Returns the crashes in which a request with one of the traits was lost. */
export function crashesUnder(
  traits: readonly string[],
  crashes: ReadonlyMap<string, Crash>,
): string[] {
  return [...crashes]
    .filter(([, {requests}]) =>
      [...requests.values()].some(lost =>
        traits.some(trait => lost.has(trait)),
      ),
    )
    .map(([upstream]) => upstream);
}

/** Returns a key of a group of traits, the same in any order. */
export function keyOf(traits: readonly string[]): string {
  return [...traits].sort().join(' ');
}
