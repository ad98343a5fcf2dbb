/**
 * Faults planted into the model, to see that the oracle finds them. None is
 * part of the product.
 */
export enum PlantedBug {
  None = 'none',
  /** A silent holder's shares are released after a lease's time. */
  LeaseReclaim = 'lease-reclaim',
  /** A top-up whose answer was lost is written again under a new identifier. */
  TopUpWithNewId = 'blind-top-up',
  /** The ledger forgets which requests were billed. */
  ForgottenDigests = 'no-digests',
  /** A transfer that arrives twice is credited twice. */
  DoubleCreditedTransfer = 'repeated-give',
  /** A caller gets its answer before the charge is safe. */
  UnsecuredAnswer = 'unsecured-answer',
  /** An order is sent before its record is known to exist. */
  OrderBeforeRecord = 'order-before-record',
  /** "Not run" is said when the answer of an upstream is late. */
  PrematureNotRun = 'hasty-not-run',
  /** A release does not wait for the open holders. */
  PrematureRelease = 'hasty-release',
}
