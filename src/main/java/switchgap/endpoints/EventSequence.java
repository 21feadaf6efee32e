package switchgap.endpoints;

/**
 * Decides by its number whether an event of the control feed is delivered, so that each event is
 * delivered once and in order. Not thread-safe.
 */
final class EventSequence {
  /** What becomes of an event. */
  enum Verdict {
    /** It is the next event, or a complete list that is at least as recent as the last event. */
    DELIVER,
    /** It was delivered before. */
    DUPLICATE,
    /** An event before it is missing. */
    GAP
  }

  private long lastSequence;

  /** The number of the event at which a gap was found last; found again, none is missing there. */
  private long gapSequence;

  /** A sequence in which all events up to this number were delivered. */
  EventSequence(long lastSequence) {
    this.lastSequence = lastSequence;
  }

  /** The number of the last event that was delivered. */
  long lastSequence() {
    return lastSequence;
  }

  /** Returns what becomes of an event, and counts it as the last one where it is delivered. */
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
