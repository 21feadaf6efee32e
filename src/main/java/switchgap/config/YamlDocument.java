package switchgap.config;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * A mapping of a YAML document: the whole document or a section of it. Each value is asked for by
 * key and type; a key that nobody asked for is refused by {@link #rejectUnknownKeys()}, with the
 * keys that are allowed. Durations are written 250ms, 1.5s, 2m; shares are numbers. Every method
 * that reads a value throws {@link InvalidConfigException} with file, line and key where the value
 * can't be used. For one thread.
 */
public final class YamlDocument {
  private static final Pattern DURATION = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*(us|ms|s|m|h)");
  private static final double MAX_DURATION_NANOS = 1e17;
  private static final int MAX_DOCUMENT_BYTES = 4 << 20;
  private static final int MAX_ALIASES = 20;
  private static final int MAX_DEPTH = 20;

  /** Whole numbers below are printed without a decimal point. */
  private static final double MAX_PRINTED_WHOLE = 1e9;

  private final String file;
  private final String name;
  private final int line;
  private final Map<String, Node> values = new LinkedHashMap<>();
  private final Map<String, Integer> lines = new LinkedHashMap<>();
  private final TreeSet<String> knownKeys = new TreeSet<>();

  private YamlDocument(String file, String name, Node node) {
    this.file = file;
    this.name = name;
    this.line = lineOf(node);
    if (!(node instanceof MappingNode mapping)) {
      throw new InvalidConfigException(file, line, name + " must be a mapping of keys to values");
    }
    for (NodeTuple entry : mapping.getValue()) {
      add(entry);
    }
  }

  private void add(NodeTuple entry) {
    int keyLine = lineOf(entry.getKeyNode());
    if (!(entry.getKeyNode() instanceof ScalarNode scalar)) {
      throw new InvalidConfigException(file, keyLine, "a key of " + name + " must be plain text");
    }
    String key = scalar.getValue();
    if (values.put(key, entry.getValueNode()) != null) {
      throw new InvalidConfigException(
          file,
          keyLine,
          "key " + key + " stands twice in " + name + ", first in line " + lines.get(key));
    }
    lines.put(key, keyLine);
  }

  /**
   * Reads a file.
   *
   * @throws IOException if the file can't be read
   * @throws InvalidConfigException if it is too large or no mapping
   */
  public static YamlDocument read(Path path) throws IOException {
    if (Files.size(path) > MAX_DOCUMENT_BYTES) {
      throw new InvalidConfigException(
          path.toString(), 1, "larger than " + MAX_DOCUMENT_BYTES + " bytes");
    }
    return read(path.toString(), Files.readString(path));
  }

  /** Reads a text; {@code file} is the name by which mistakes are reported. */
  public static YamlDocument read(String file, String text) {
    LoaderOptions bounds = new LoaderOptions();
    bounds.setMaxAliasesForCollections(MAX_ALIASES);
    bounds.setNestingDepthLimit(MAX_DEPTH);
    bounds.setCodePointLimit(MAX_DOCUMENT_BYTES);
    try {
      Node root = new Yaml(bounds).compose(new StringReader(text));
      if (root == null) {
        throw new InvalidConfigException(file, 1, "the page is empty");
      }
      return new YamlDocument(file, "the page", root);
    } catch (MarkedYAMLException e) {
      int line = e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1;
      throw new InvalidConfigException(file, line, "no YAML: " + e.getProblem());
    } catch (YAMLException e) {
      throw new InvalidConfigException(file, 1, "no YAML: " + e.getMessage());
    }
  }

  private static int lineOf(Node node) {
    return node.getStartMark() == null ? 1 : node.getStartMark().getLine() + 1;
  }

  /** Whether the key is there; it counts as asked for. */
  public boolean has(String key) {
    knownKeys.add(key);
    return values.containsKey(key);
  }

  /** All keys in the order of the document; they count as asked for. */
  public List<String> keys() {
    knownKeys.addAll(values.keySet());
    return new ArrayList<>(values.keySet());
  }

  /** The exception for a value that can't be used, to be thrown by the caller. */
  public InvalidConfigException invalid(String key, String reason) {
    return new InvalidConfigException(
        file, lines.getOrDefault(key, line), name + ": " + key + ": " + reason);
  }

  private InvalidConfigException absent(String key) {
    return new InvalidConfigException(file, line, name + ": key " + key + " is absent");
  }

  /** A plain value as it is written. */
  public String text(String key) {
    if (!has(key)) {
      throw absent(key);
    }
    if (!(values.get(key) instanceof ScalarNode scalar)) {
      throw invalid(key, "must be one value");
    }
    return scalar.getValue();
  }

  /** A plain value, or the default when the key is absent. */
  public String text(String key, String defaultValue) {
    return has(key) ? text(key) : defaultValue;
  }

  /** A number within bounds, both included. */
  public double number(String key, double min, double max) {
    String text = text(key);
    double value;
    try {
      value = Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw invalid(key, "'" + text + "' is no number");
    }
    if (value >= min && value <= max) {
      return value;
    }
    throw invalid(key, "'" + text + "' must lie from " + print(min) + " to " + print(max));
  }

  /** A number within bounds, both included, or the default when the key is absent. */
  public double number(String key, double min, double max, double defaultValue) {
    return has(key) ? number(key, min, max) : defaultValue;
  }

  /** A whole number within bounds, both included. */
  public int integer(String key, int min, int max) {
    double value = number(key, min, max);
    if (value != Math.rint(value)) {
      throw invalid(key, "'" + text(key) + "' must be a whole number");
    }
    return (int) value;
  }

  /** A whole number within bounds, both included, or the default when the key is absent. */
  public int integer(String key, int min, int max, int defaultValue) {
    return has(key) ? integer(key, min, max) : defaultValue;
  }

  private static String print(double value) {
    boolean whole = value == Math.rint(value) && Math.abs(value) < MAX_PRINTED_WHOLE;
    return whole ? Long.toString((long) value) : Double.toString(value);
  }

  /** A duration with its unit, or 0. */
  public Duration duration(String key) {
    String text = text(key);
    if (text.trim().equals("0")) {
      return Duration.ZERO;
    }
    Matcher matcher = DURATION.matcher(text.trim());
    if (!matcher.matches()) {
      throw invalid(key, "'" + text + "' is no span; write 250ms, 1.5s, 2m or 1h");
    }
    double nanos = Double.parseDouble(matcher.group(1)) * nanosPerUnit(matcher.group(2));
    if (nanos > MAX_DURATION_NANOS) {
      throw invalid(key, "'" + text + "' is too long");
    }
    return Duration.ofNanos(Math.round(nanos));
  }

  private static double nanosPerUnit(String unit) {
    return switch (unit) {
      case "us" -> 1e3;
      case "ms" -> 1e6;
      case "s" -> 1e9;
      case "m" -> 60e9;
      default -> 3600e9;
    };
  }

  /** A duration with its unit, or the default when the key is absent. */
  public Duration duration(String key, Duration defaultValue) {
    return has(key) ? duration(key) : defaultValue;
  }

  /** True or false, or the default when the key is absent. */
  public boolean flag(String key, boolean defaultValue) {
    return has(key) ? choice(key, List.of("true", "false")).equals("true") : defaultValue;
  }

  /** One of the allowed words. */
  public String choice(String key, List<String> allowed) {
    String text = text(key);
    if (!allowed.contains(text)) {
      throw invalid(key, "'" + text + "' must be one of " + String.join(", ", allowed));
    }
    return text;
  }

  /**
   * The constant of an enum by its {@link EnumWords word}, or the default when the key is absent.
   */
  public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    E[] constants = type.getEnumConstants();
    List<String> words = Arrays.stream(constants).map(EnumWords::wordOf).toList();
    return constants[words.indexOf(choice(key, words))];
  }

  /**
   * One of the document's words for a choice, each standing for a value; null where the key is
   * absent.
   */
  public <T> T choice(String key, Map<String, T> words) {
    return has(key) ? words.get(choice(key, List.copyOf(words.keySet()))) : null;
  }

  /** A mapping under a key. */
  public YamlDocument section(String key) {
    if (!has(key)) {
      throw absent(key);
    }
    return new YamlDocument(file, key, values.get(key));
  }

  /** A mapping, or an empty one when the key is absent. */
  public YamlDocument optionalSection(String key) {
    if (has(key)) {
      return section(key);
    }
    return new YamlDocument(
        file, key, new MappingNode(Tag.MAP, List.of(), DumperOptions.FlowStyle.BLOCK));
  }

  /** The mappings of a list; empty when the key is absent. */
  public List<YamlDocument> sections(String key) {
    List<YamlDocument> sections = new ArrayList<>();
    for (Node element : elements(key)) {
      sections.add(new YamlDocument(file, key + " " + sections.size(), element));
    }
    return sections;
  }

  /** The plain values of a list; empty when the key is absent. */
  public List<String> textList(String key) {
    List<String> texts = new ArrayList<>();
    for (Node element : elements(key)) {
      if (!(element instanceof ScalarNode scalar)) {
        throw new InvalidConfigException(
            file, lineOf(element), name + ": " + key + " must be a list of plain values");
      }
      texts.add(scalar.getValue());
    }
    return texts;
  }

  private List<Node> elements(String key) {
    if (!has(key)) {
      return List.of();
    }
    if (!(values.get(key) instanceof SequenceNode sequence)) {
      throw invalid(key, "must be a list");
    }
    return sequence.getValue();
  }

  /** Refuses keys that nobody asked for; to be called once all values have been read. */
  public void rejectUnknownKeys() {
    for (String key : values.keySet()) {
      if (!knownKeys.contains(key)) {
        throw new InvalidConfigException(
            file,
            lines.get(key),
            name + ": unknown key " + key + "; allowed are " + String.join(", ", knownKeys));
      }
    }
  }
}
