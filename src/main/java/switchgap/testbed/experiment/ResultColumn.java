package switchgap.testbed.experiment;

/** A column of a {@link ResultTable}. */
record ResultColumn(String name, Type type) {
  /** What a column's values are. */
  enum Type {
    /** A string. */
    TEXT,
    /** An integer of 64 bits. */
    INTEGER,
    /** A floating-point number of 64 bits. */
    REAL
  }

  static ResultColumn text(String name) {
    return new ResultColumn(name, Type.TEXT);
  }

  static ResultColumn integer(String name) {
    return new ResultColumn(name, Type.INTEGER);
  }

  static ResultColumn real(String name) {
    return new ResultColumn(name, Type.REAL);
  }
}
