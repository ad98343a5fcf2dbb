/** How a test partitions gateway processes from the servers. */

/** What happens to the connections of a partitioned gateway to the servers. */
export enum Partition {
  /** New ones are never established, and open ones are silent. */
  Hanging = 'hanging',
  /** New ones are refused, and open ones are reset. */
  Reset = 'reset',
  /** New ones are refused, and open ones work on. */
  OnlyNew = 'only-new',
}

/** How new connections to some ports end. */
export enum NewConnections {
  Open = 'open',
  Refused = 'refused',
  Hanging = 'hanging',
  /** Established after `LATE_CONNECTION_TIME`, as over a full link. */
  Late = 'late',
}

/** Time after which a late connection is established, in milliseconds. */
export const LATE_CONNECTION_TIME = 450;

/** How new connections end in each kind of partition. */
export const NEW_CONNECTIONS: Readonly<Record<Partition, NewConnections>> = {
  [Partition.Hanging]: NewConnections.Hanging,
  [Partition.Reset]: NewConnections.Refused,
  [Partition.OnlyNew]: NewConnections.Refused,
};

/** Message to a gateway process that loads `partition_preload.js`. */
export interface PartitionCommand {
  newConnections: NewConnections;
  /** Ports to which it applies. */
  ports: number[];
}

/** Environment variable with the source address of all connections. */
export const SOURCE_VARIABLE = 'CITRONTRESTLE_TEST_SOURCE';
