/** The size, the load and the faults of a run. */
import type {Millis} from '@citrontrestle/decisions';

/** Kinds of faults and of planned changes. */
export enum FaultKind {
  /** SIGTERM to one instance, which starts again after it has exited. */
  Stop = 'stop',
  /** SIGKILL to one instance, which then starts again. */
  Kill = 'kill',
  /** SIGKILL to all instances at once, which then start again. */
  KillAll = 'kill-all',
  /** SIGKILL to one instance, which never starts again. */
  Loss = 'loss',
  /** SIGSTOP to one instance, then SIGCONT. */
  Freeze = 'freeze',
  /** SIGHUP to one instance, which reads and checks its settings again. */
  Reload = 'reload',
  /** The store fails or delays the calls of one instance. */
  StoreFault = 'store-fault',
  /** The store fails or delays the calls of all instances. */
  StoreOutage = 'store-outage',
  /** The store drops its old revisions. */
  Compaction = 'compaction',
  /** An upstream rejects requests or sends faulty responses, or none. */
  UpstreamFault = 'upstream-fault',
  /**
   * Upstreams refuse some requests and write the refusals again, before the
   * answer to the same or another request or to an idle connection.
   */
  RepeatedRefusals = 'repeated-refusals',
  /**
   * An upstream ends without notice; its list entry expires and a new upstream
   * is added.
   */
  UpstreamCrash = 'upstream-crash',
  /** All model upstreams crash under a part of some of the prompts. */
  CrashingPart = 'crashing-part',
  /** A new upstream is added and another one drains. */
  UpstreamDrain = 'upstream-leave',
  /**
   * The link to an upstream delays bytes, or holds them back in one or both
   * directions.
   */
  UpstreamLinkFault = 'upstream-link',
  /**
   * The link from its peers to one instance delays or holds back bytes
   * likewise.
   */
  PeerLinkFault = 'peer-link',
  /**
   * The connections of peers to one instance and of all instances to one
   * upstream are reset.
   */
  ResetConnections = 'reset-connections',
  /**
   * One instance is partitioned from all upstreams, or all but one are, so that
   * peers forward.
   */
  Partition = 'partition',
  /** An account is granted more tokens. */
  TopUp = 'top-up',
  /** One instance does not run for parts of a time, again and again. */
  StallSeries = 'stall-series',
  /** The operator evacuates a zone, and takes it back. */
  Evacuation = 'evacuation',
  /**
   * Upstreams end some answers in a way of their own: closed, reset or killed
   * in part, with or without a length, or before they have read the request.
   */
  AnswerEndings = 'answer-endings',
  /**
   * A new upstream is added and another one leaves: by its list entry, by the
   * removal of that, or by a statement in its answers.
   */
  Departure = 'departure',
  /** New connections of some instances to upstreams are established late. */
  SlowConnections = 'slow-connections',
  /** The oldest API key of an account is replaced by a new one. */
  RotateKey = 'change-key',
}

/** One fault or planned change. */
export interface Fault {
  kind: FaultKind;
  /** Time from the start of the load to the fault. */
  startsAfter: Millis;
  /** How long the fault lasts; ignored by kinds that have no duration. */
  duration: Millis;
  /** Selects the target, such as an instance, by its position in [0, 1). */
  targetFraction: number;
  /** Selects the variant of the fault, or a second target, in the same way. */
  variantFraction: number;
}

/** Size, load and faults of one run. */
export interface RunPlan {
  seed: number;
  /** Number of instances. */
  gatewayCount: number;
  /** Tokens granted to each account at the start. */
  initialGrant: number;
  /** Mean rate of requests from all callers together. */
  requestsPerSecond: number;
  /** Number of upstreams of each service at the start. */
  upstreamsPerService: number;
  loadDuration: Millis;
  /** Sorted by start. */
  faults: Fault[];
}
