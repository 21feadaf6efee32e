package switchgap.protocol.thrift;

/**
 * The exceptions that the service declares, by the field of the result struct that carries them.
 */
enum DeclaredException {
  /** {@code Full}: the request was rejected, a retry is harmless. */
  FULL(1),
  /** {@code Error}: the request failed or is unusable; no promise about its effect. */
  ERROR(2);

  private final int fieldId;

  DeclaredException(int fieldId) {
    this.fieldId = fieldId;
  }

  /** Its field in the result struct. */
  int fieldId() {
    return fieldId;
  }
}
