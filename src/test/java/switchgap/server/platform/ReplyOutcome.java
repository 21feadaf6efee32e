package switchgap.server.platform;

/** Outcome of a submit, by the field in the reply's result struct. */
enum ReplyOutcome {
  /** The result is a {@code Response}. */
  SUCCEEDED,
  /** The result is the declared exception {@code Full}. */
  REJECTED,
  /** The result is the declared exception {@code Error}. */
  FAILED,
  /** The reply is an application exception instead of a result. */
  APPLICATION_EXCEPTION;

  /** The outcome of a result struct whose only field has the given id. */
  static ReplyOutcome ofResultField(int fieldId) {
    return switch (fieldId) {
      case 0 -> SUCCEEDED;
      case 1 -> REJECTED;
      case 2 -> FAILED;
      default -> throw new AssertionError("result field " + fieldId);
    };
  }
}
