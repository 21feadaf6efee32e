package switchgap.protocol.thrift;

/**
 * The exceptions that the Thrift service declares, with the field of the result struct that carries
 * each.
 */
enum DeclaredException {
  /** {@code Full}: the request was rejected without being executed, so a retry is safe. */
  FULL(1),
  /** {@code Error}: the request failed or is invalid; it may have been executed. */
  ERROR(2);

  private final int fieldId;

  DeclaredException(int fieldId) {
    this.fieldId = fieldId;
  }

  /** Id of the field in the result struct that carries this exception. */
  int fieldId() {
    return fieldId;
  }
}
