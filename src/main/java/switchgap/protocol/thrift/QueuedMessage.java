package switchgap.protocol.thrift;

import java.time.Duration;

/** A client's message that waits for the event loop. */
sealed interface QueuedMessage permits QueuedMessage.Submit, QueuedMessage.Revoke {
  /**
   * Upper bound for the heap that a queued message holds besides its frame: the message, its
   * receive time, the entry in the queue, and the header and padding of the frame's array.
   */
  int OVERHEAD_BYTES = 128;

  /** Upper bound for the heap that the message holds while it is queued. */
  int heapBytes();

  /**
   * A submit. Its frame is decoded only when the event loop handles it, as the decoded form takes
   * many times the heap.
   *
   * @param frame the message without its length prefix; only its header has been checked
   * @param sequenceId the sequence id in the header
   * @param receivedAt earliest time at which the last byte may have arrived
   */
  record Submit(byte[] frame, int sequenceId, Duration receivedAt) implements QueuedMessage {
    @Override
    public int heapBytes() {
      return OVERHEAD_BYTES + frame.length;
    }
  }

  /**
   * A revoke.
   *
   * @param revokedSequenceId the sequence id of the submit that is revoked
   * @param receivedAt earliest time at which the last byte may have arrived
   */
  record Revoke(int revokedSequenceId, Duration receivedAt) implements QueuedMessage {
    /** Heap of the entry in the connection's map of unhandled revokes. */
    private static final int MAP_ENTRY_BYTES = 64;

    @Override
    public int heapBytes() {
      return OVERHEAD_BYTES + MAP_ENTRY_BYTES;
    }
  }
}
