package switchgap.server.platform;

/** How a reply answers a submit, by the field of its result struct. */
enum ReplyOutcome {
  /** {@code Response}. */
  SUCCEEDED,
  /** {@code Full}. */
  REJECTED,
  /** {@code Error}. */
  FAILED,
  /** No result but an application exception. */
  APPLICATION_EXCEPTION;

  /** The outcome of a result whose only field has this id. */
  static ReplyOutcome ofResultField(int fieldId) {
    return switch (fieldId) {
      case 0 -> SUCCEEDED;
      case 1 -> REJECTED;
      case 2 -> FAILED;
      default -> throw new AssertionError("result field " + fieldId);
    };
  }
}
