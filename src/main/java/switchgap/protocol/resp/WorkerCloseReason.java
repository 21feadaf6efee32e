package switchgap.protocol.resp;

import switchgap.net.CloseReason;
import switchgap.router.EventReason;

/** Why a connection to a worker ends. */
enum WorkerCloseReason implements CloseReason, EventReason {
  /** The worker closed or reset it, or it broke. */
  PEER_CLOSED(CloseReason.Transport.PEER_CLOSED.description()),
  /** A command could not be written, as the connection broke. */
  WRITE_FAILED(CloseReason.Transport.WRITE_FAILED.description()),
  /** It was opened after its connect timeout. */
  OPENED_TOO_LATE(CloseReason.Transport.OPENED_TOO_LATE.description()),
  /** Another worker needs a connection, and all are in use. */
  EVICTED("evicted for another connection"),
  /** The worker has left the endpoint list. */
  WORKER_GONE("worker is gone"),
  /** A reply bears a status that the protocol does not know. */
  UNKNOWN_STATUS("reply with an unknown status"),
  /** No reply came within a timeout, and nothing is in flight any more. */
  UNRESPONSIVE("worker does not reply"),
  /** Nothing was sent on it for the idle timeout. */
  IDLE("idle"),
  /** The worker sent something before the first command. */
  UNEXPECTED_BYTES("bytes before the first command"),
  /** What was read is no reply; where the next one would begin is not known. */
  MALFORMED_REPLY("malformed reply");

  private final String description;

  WorkerCloseReason(String description) {
    this.description = description;
  }

  /** Whether the worker ended it, perhaps as its process ended. */
  boolean isByWorker() {
    return this == PEER_CLOSED || this == WRITE_FAILED;
  }

  @Override
  public String description() {
    return description;
  }

  /** The reason for which a connection to a worker was closed, by this package or the transport. */
  static WorkerCloseReason of(CloseReason reason) {
    if (reason instanceof WorkerCloseReason own) {
      return own;
    }
    if (reason == CloseReason.Transport.WRITE_FAILED) {
      return WRITE_FAILED;
    }
    return reason == CloseReason.Transport.OPENED_TOO_LATE ? OPENED_TOO_LATE : PEER_CLOSED;
  }
}
