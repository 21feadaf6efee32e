package switchgap.testbed.experiment;

/** A column of a {@link ResultTable}. */
record ResultColumn(String name, Type type) {
  /** Type of a column's values. */
  enum Type {
    /** A string. */
    TEXT,
    /** A signed 64-bit integer. */
    INTEGER,
    /** A 64-bit floating-point number. */
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
