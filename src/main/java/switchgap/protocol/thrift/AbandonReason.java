package switchgap.protocol.thrift;

import switchgap.router.EventReason;

/** Reason for which a request is cancelled while its connection stays open. */
enum AbandonReason implements EventReason {
  /** The client sent a revoke. */
  REVOKED
}
