package switchgap.protocol.thrift;

import switchgap.router.EventReason;

/** Why nobody waits for a request any more although its connection is open. */
enum AbandonReason implements EventReason {
  /** Its client sent a revoke. */
  REVOKED
}
