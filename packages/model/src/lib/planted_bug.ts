/**
 * Bugs that can be planted into a model to verify that the oracle detects them.
 * The product contains none of them.
 */
export enum PlantedBug {
  None = 'none',
  /** The shares of a silent holder are released when a lease expires. */
  LeaseReclaim = 'lease-reclaim',
  /** A top-up whose answer was lost is retried under a new identifier. */
  TopUpWithNewId = 'blind-top-up',
  /** The ledger forgets which requests were billed. */
  ForgottenDigests = 'no-digests',
  /** A transfer that arrives twice is credited twice. */
  DoubleCreditedTransfer = 'repeated-give',
  /** A caller gets its answer before the charge is secured. */
  UnsecuredAnswer = 'unsecured-answer',
  /** An order is sent before its record is known to exist. */
  OrderBeforeRecord = 'order-before-record',
  /** The caller is told "not run" although only the upstream's answer is lost. */
  PrematureNotRun = 'hasty-not-run',
  /** A release does not wait until the open holders acknowledge the close. */
  PrematureRelease = 'hasty-release',
}
