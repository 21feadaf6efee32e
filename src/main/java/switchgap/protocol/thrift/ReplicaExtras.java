package switchgap.protocol.thrift;

/**
 * Properties of a function's replicas that a request states in its extras field.
 *
 * @param memoryMb memory of one replica in megabytes, 0 if not stated
 * @param slots number of requests that one replica executes concurrently
 */
record ReplicaExtras(double memoryMb, int slots) {
  private static final double MAX_MEMORY_MB = 1 << 20;
  private static final double MAX_SLOTS = 1024;
  private static final char SEPARATOR = ';';
  private static final char NAME_END = ':';

  /**
   * Parses numbers of the form {@code name:value}, separated by semicolons; unknown names are
   * ignored.
   */
  static ReplicaExtras parse(String extras) throws InvalidSubmitException {
    double memoryMb = 0;
    int slots = 1;
    int start = 0;
    while (start < extras.length()) {
      int separator = extras.indexOf(SEPARATOR, start);
      int end = separator < 0 ? extras.length() : separator;
      int colon = extras.indexOf(NAME_END, start);
      if (colon < 0 || colon > end) {
        throw new InvalidSubmitException(WireNames.EXTRAS);
      }
      String value = extras.substring(colon + 1, end);
      switch (extras.substring(start, colon)) {
        case WireNames.MEMORY_MB -> memoryMb = parseNumber(value, MAX_MEMORY_MB);
        case WireNames.LANES ->
            slots = (int) Math.max(1, Math.round(parseNumber(value, MAX_SLOTS)));
        case WireNames.LOAD_MS -> parseNumber(value, DecimalNumber.MAX_MILLIS); // validated only
        default -> {} // names that this router does not use are ignored
      }
      start = end + 1;
    }
    return new ReplicaExtras(memoryMb, slots);
  }

  private static double parseNumber(String value, double max) throws InvalidSubmitException {
    return DecimalNumber.parse(value, WireNames.EXTRAS, max);
  }
}
