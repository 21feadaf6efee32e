package switchgap.protocol.thrift;

/**
 * What a request says of the replicas of its function.
 *
 * @param memoryMb memory of one replica, 0 where not stated
 * @param slots requests that one replica runs at a time
 */
record ReplicaExtras(double memoryMb, int slots) {
  private static final double MAX_MEMORY_MB = 1 << 20;
  private static final double MAX_SLOTS = 1024;
  private static final char SEPARATOR = ';';
  private static final char NAME_END = ':';

  /**
   * Reads {@code name:value} figures that are joined by semicolons; unknown ones are passed over.
   */
  static ReplicaExtras parse(String extras) throws InvalidSubmitException {
    double memoryMb = 0;
    int slots = 1;
    int at = 0;
    while (at < extras.length()) {
      int separator = extras.indexOf(SEPARATOR, at);
      int end = separator < 0 ? extras.length() : separator;
      int colon = extras.indexOf(NAME_END, at);
      if (colon < 0 || colon > end) {
        throw new InvalidSubmitException(WireNames.EXTRAS);
      }
      String value = extras.substring(colon + 1, end);
      switch (extras.substring(at, colon)) {
        case WireNames.MEMORY_MB -> memoryMb = parseFigure(value, MAX_MEMORY_MB);
        case WireNames.LANES ->
            slots = (int) Math.max(1, Math.round(parseFigure(value, MAX_SLOTS)));
        case WireNames.LOAD_MS -> parseFigure(value, DecimalFigure.MAX_MILLIS); // checked, not used
        default -> {} // a figure that this router has no use for
      }
      at = end + 1;
    }
    return new ReplicaExtras(memoryMb, slots);
  }

  private static double parseFigure(String value, double max) throws InvalidSubmitException {
    return DecimalFigure.parse(value, WireNames.EXTRAS, max);
  }
}
