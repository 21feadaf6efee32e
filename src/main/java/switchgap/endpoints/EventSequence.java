package switchgap.endpoints;

/**
 * Decides by its sequence number whether an event of the stream is delivered, so that each event is
 * delivered once and in order. Not thread-safe.
 */
final class EventSequence {
  /** What to do with an event. */
  enum Verdict {
    /**
     * The event is next in the sequence, or is a complete list at least as recent as the last
     * event.
     */
    DELIVER,
    /** The event was delivered before. */
    DUPLICATE,
    /** A preceding event is missing. */
    GAP
  }

  private long lastSequence;

  /**
   * Sequence number of the event at which a gap was last found. If the same event follows the last
   * one again after reconnecting, the stream has no events in between.
   */
  private long gapSequence;

  /** Creates a sequence in which all events up to {@code lastSequence} have been delivered. */
  EventSequence(long lastSequence) {
    this.lastSequence = lastSequence;
  }

  /** The sequence number of the last delivered event. */
  long lastSequence() {
    return lastSequence;
  }

  /**
   * Returns what to do with an event. If it is to be delivered, it becomes the last delivered
   * event.
   */
  Verdict advance(EndpointListEvent event) {
    long sequence = event.sequence();
    boolean isDuplicate =
        sequence < lastSequence || (sequence == lastSequence && !event.complete());
    if (isDuplicate) {
      return Verdict.DUPLICATE;
    }
    boolean isGap = sequence > lastSequence + 1 && !event.complete();
    if (isGap && gapSequence != sequence) {
      gapSequence = sequence;
      return Verdict.GAP;
    }
    lastSequence = sequence;
    return Verdict.DELIVER;
  }
}
