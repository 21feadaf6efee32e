package switchgap.config;

import java.util.Locale;

/** Converts enum constants to the words used in settings, responses, metrics and reports. */
public final class EnumWords {
  private EnumWords() {}

  /** Returns the word for a constant: its name in lower case, with hyphens for underscores. */
  public static String wordOf(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
