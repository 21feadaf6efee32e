package switchgap.protocol.resp;

import switchgap.net.CloseReason;
import switchgap.router.EventReason;

/** The reason why a connection to a worker was closed. */
enum WorkerCloseReason implements CloseReason, EventReason {
  /** The worker closed or reset the connection, or the connection broke. */
  PEER_CLOSED(CloseReason.Transport.PEER_CLOSED.description()),
  /** A command could not be written because the connection broke. */
  WRITE_FAILED(CloseReason.Transport.WRITE_FAILED.description()),
  /** The connection was opened after its connect timeout. */
  OPENED_TOO_LATE(CloseReason.Transport.OPENED_TOO_LATE.description()),
  /** The connection limit was reached and another connection was needed. */
  EVICTED("evicted for another connection"),
  /** The worker left the endpoint list or got a new address before the connection was open. */
  WORKER_GONE("worker left the endpoint list"),
  /** A reply has a status that the protocol does not define. */
  UNKNOWN_STATUS("reply with an unknown status"),
  /** No reply arrived within a timeout, and nothing is in flight any more. */
  UNRESPONSIVE("no reply from the worker within the timeout"),
  /**
   * No exchange was in flight for the duration of the idle timeout; without a timeout if the worker
   * left the endpoint list or got a new address.
   */
  IDLE("idle"),
  /** The worker sent bytes before the first command. */
  UNEXPECTED_BYTES("worker sent bytes before the first command"),
  /** The received bytes are not a valid reply, so the start of the next reply is unknown. */
  MALFORMED_REPLY("malformed reply");

  private final String description;

  WorkerCloseReason(String description) {
    this.description = description;
  }

  /** Whether the worker closed the connection, for example because its process ended. */
  boolean isInitiatedByWorker() {
    return this == PEER_CLOSED || this == WRITE_FAILED;
  }

  @Override
  public String description() {
    return description;
  }

  /** Maps a reason of this enum or of the transport to a constant of this enum. */
  static WorkerCloseReason of(CloseReason reason) {
    if (reason instanceof WorkerCloseReason workerReason) {
      return workerReason;
    }
    if (reason == CloseReason.Transport.WRITE_FAILED) {
      return WRITE_FAILED;
    }
    return reason == CloseReason.Transport.OPENED_TOO_LATE ? OPENED_TOO_LATE : PEER_CLOSED;
  }
}
