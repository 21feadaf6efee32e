package switchgap.protocol.thrift;

import switchgap.router.EventReason;

/** Why a request is cancelled although its connection is open. */
enum AbandonReason implements EventReason {
  /** Its client sent a revoke. */
  REVOKED
}
