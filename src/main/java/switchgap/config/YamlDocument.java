package switchgap.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * A mapping in a YAML document: the whole document or a section of it. Each value is read by key
 * and type. {@link #rejectUnknownKeys()} rejects every key of the document that was never read; its
 * message lists the allowed keys. Durations are written with a unit, such as 250ms, 1.5s or 2m;
 * shares are written as numbers. Every method that reads a value throws {@link
 * InvalidConfigException} with file, line and key if the value is missing or invalid. Not
 * thread-safe.
 */
public final class YamlDocument {
  /** Name of the whole document in error messages; a section is named by its key. */
  private static final String ROOT_NAME = "the document";

  private record Entry(Node value, int line) {}

  private final String file;
  private final String name;
  private final int line;
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /** Keys that callers have read or checked for, including those that the document omits. */
  private final TreeSet<String> allowedKeys = new TreeSet<>();

  private YamlDocument(String file, String name, Node node) {
    this.file = file;
    this.name = name;
    this.line = YamlParser.lineOf(node);
    if (!(node instanceof MappingNode mapping)) {
      throw new InvalidConfigException(file, line, name + " must be a mapping of keys to values");
    }
    for (NodeTuple tuple : mapping.getValue()) {
      addEntry(tuple);
    }
  }

  private void addEntry(NodeTuple tuple) {
    int keyLine = YamlParser.lineOf(tuple.getKeyNode());
    if (!(tuple.getKeyNode() instanceof ScalarNode scalar)) {
      throw new InvalidConfigException(file, keyLine, "a key of " + name + " must be plain text");
    }
    String key = scalar.getValue();
    Entry earlier = entries.putIfAbsent(key, new Entry(tuple.getValueNode(), keyLine));
    if (earlier != null) {
      throw new InvalidConfigException(
          file,
          keyLine,
          "duplicate key " + key + " in " + name + ", first defined on line " + earlier.line);
    }
  }

  /**
   * Reads a file.
   *
   * @throws IOException if the file can't be read
   * @throws InvalidConfigException if the file is too large or is not a valid YAML mapping
   */
  public static YamlDocument read(Path path) throws IOException {
    if (Files.size(path) > YamlParser.MAX_DOCUMENT_BYTES) {
      throw new InvalidConfigException(
          path.toString(), 1, "the file exceeds " + YamlParser.MAX_DOCUMENT_BYTES + " bytes");
    }
    return read(path.toString(), Files.readString(path));
  }

  /**
   * Parses a document from a string.
   *
   * @param file name of the document in error messages
   * @throws InvalidConfigException if the text is not a valid YAML mapping
   */
  public static YamlDocument read(String file, String text) {
    return new YamlDocument(file, ROOT_NAME, YamlParser.parse(file, text));
  }

  /** Whether the key is present. {@link #rejectUnknownKeys()} then allows the key. */
  public boolean has(String key) {
    allowedKeys.add(key);
    return entries.containsKey(key);
  }

  /** All keys, in the order of the document. {@link #rejectUnknownKeys()} then allows them. */
  public List<String> keys() {
    allowedKeys.addAll(entries.keySet());
    return new ArrayList<>(entries.keySet());
  }

  /** Returns an exception that reports an invalid value; the caller throws it. */
  public InvalidConfigException invalid(String key, String reason) {
    Entry entry = entries.get(key);
    return new InvalidConfigException(
        file, entry == null ? line : entry.line, name + ": " + key + ": " + reason);
  }

  private Node requiredValue(String key) {
    if (!has(key)) {
      throw new InvalidConfigException(file, line, name + ": missing key " + key);
    }
    return entries.get(key).value;
  }

  private YamlScalar scalar(String key) {
    if (!(requiredValue(key) instanceof ScalarNode node)) {
      throw invalid(key, "must be a single value, not a list or a mapping");
    }
    return new YamlScalar(this, key, node.getValue());
  }

  /** A single value as it is written. */
  public String text(String key) {
    return scalar(key).text();
  }

  /** A single value as it is written, or the default if the key is absent. */
  public String text(String key, String defaultValue) {
    return has(key) ? text(key) : defaultValue;
  }

  /** A number within bounds, both inclusive. */
  public double number(String key, double min, double max) {
    return scalar(key).number(min, max);
  }

  /** A number within bounds, both inclusive, or the default if the key is absent. */
  public double number(String key, double min, double max, double defaultValue) {
    return has(key) ? number(key, min, max) : defaultValue;
  }

  /** A whole number within bounds, both inclusive. */
  public int integer(String key, int min, int max) {
    return scalar(key).integer(min, max);
  }

  /** A whole number within bounds, both inclusive, or the default if the key is absent. */
  public int integer(String key, int min, int max, int defaultValue) {
    return has(key) ? integer(key, min, max) : defaultValue;
  }

  /** A duration, written with a unit or as 0. */
  public Duration duration(String key) {
    return scalar(key).duration();
  }

  /** A duration, written with a unit or as 0, or the default if the key is absent. */
  public Duration duration(String key, Duration defaultValue) {
    return has(key) ? duration(key) : defaultValue;
  }

  /** The boolean written as true or false, or the default if the key is absent. */
  public boolean flag(String key, boolean defaultValue) {
    return has(key) ? choice(key, List.of("true", "false")).equals("true") : defaultValue;
  }

  /** One of the allowed words. */
  public String choice(String key, List<String> allowed) {
    return scalar(key).choice(allowed);
  }

  /**
   * The enum constant whose {@linkplain EnumWords word} is the value, or the default if the key is
   * absent.
   */
  public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    E[] constants = type.getEnumConstants();
    List<String> words = Arrays.stream(constants).map(EnumWords::wordOf).toList();
    return constants[words.indexOf(choice(key, words))];
  }

  /** The mapping under a key. */
  public YamlDocument section(String key) {
    return new YamlDocument(file, key, requiredValue(key));
  }

  /** The mapping under a key, or an empty one if the key is absent. */
  public YamlDocument optionalSection(String key) {
    if (has(key)) {
      return section(key);
    }
    return new YamlDocument(
        file, key, new MappingNode(Tag.MAP, List.of(), DumperOptions.FlowStyle.BLOCK));
  }

  /** The mappings in the list under a key; empty if the key is absent. */
  public List<YamlDocument> sections(String key) {
    List<YamlDocument> sections = new ArrayList<>();
    for (Node element : elements(key)) {
      sections.add(new YamlDocument(file, key + " " + sections.size(), element));
    }
    return sections;
  }

  /** The single values in the list under a key; empty if the key is absent. */
  public List<String> textList(String key) {
    List<String> texts = new ArrayList<>();
    for (Node element : elements(key)) {
      if (!(element instanceof ScalarNode node)) {
        throw new InvalidConfigException(
            file,
            YamlParser.lineOf(element),
            name + ": " + key + " must be a list of single values, without lists or mappings");
      }
      texts.add(node.getValue());
    }
    return texts;
  }

  private List<Node> elements(String key) {
    if (!has(key)) {
      return List.of();
    }
    if (!(requiredValue(key) instanceof SequenceNode sequence)) {
      throw invalid(key, "must be a list");
    }
    return sequence.getValue();
  }

  /**
   * Rejects keys that were never read. Call it after all values have been read.
   *
   * @throws InvalidConfigException with the first unknown key and the allowed ones
   */
  public void rejectUnknownKeys() {
    entries.forEach(
        (key, entry) -> {
          if (!allowedKeys.contains(key)) {
            throw new InvalidConfigException(
                file,
                entry.line,
                name
                    + ": unknown key "
                    + key
                    + "; allowed keys are "
                    + String.join(", ", allowedKeys));
          }
        });
  }
}
