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
 * A mapping of a YAML document: the whole document or a section of it. Each value is read by key
 * and type; a key that was never read is rejected by {@link #rejectUnknownKeys()}, with the keys
 * that are allowed. Durations are written 250ms, 1.5s, 2m; shares are numbers. Every method that
 * reads a value throws {@link InvalidConfigException} with file, line and key where the value can't
 * be used. For one thread.
 */
public final class YamlDocument {
  private static final String ROOT_NAME = "the page";

  private record Entry(Node value, int line) {}

  private final String file;
  private final String name;
  private final int line;
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /** Keys that were read, whether they are present or not. */
  private final TreeSet<String> knownKeys = new TreeSet<>();

  private YamlDocument(String file, String name, Node node) {
    this.file = file;
    this.name = name;
    this.line = YamlParser.lineOf(node);
    if (!(node instanceof MappingNode mapping)) {
      throw new InvalidConfigException(file, line, name + " must be a mapping of keys to values");
    }
    for (NodeTuple tuple : mapping.getValue()) {
      add(tuple);
    }
  }

  private void add(NodeTuple tuple) {
    int keyLine = YamlParser.lineOf(tuple.getKeyNode());
    if (!(tuple.getKeyNode() instanceof ScalarNode scalar)) {
      throw new InvalidConfigException(file, keyLine, "a key of " + name + " must be plain text");
    }
    String key = scalar.getValue();
    Entry first = entries.putIfAbsent(key, new Entry(tuple.getValueNode(), keyLine));
    if (first != null) {
      throw new InvalidConfigException(
          file,
          keyLine,
          "key " + key + " stands twice in " + name + ", first in line " + first.line);
    }
  }

  /**
   * Reads a file.
   *
   * @throws IOException if the file can't be read
   * @throws InvalidConfigException if it is too large or no mapping
   */
  public static YamlDocument read(Path path) throws IOException {
    if (Files.size(path) > YamlParser.MAX_DOCUMENT_BYTES) {
      throw new InvalidConfigException(
          path.toString(), 1, "larger than " + YamlParser.MAX_DOCUMENT_BYTES + " bytes");
    }
    return read(path.toString(), Files.readString(path));
  }

  /**
   * Parses a text.
   *
   * @param file name of the text in errors
   * @throws InvalidConfigException if it is no mapping
   */
  public static YamlDocument read(String file, String text) {
    return new YamlDocument(file, ROOT_NAME, YamlParser.parse(file, text));
  }

  /** Whether the key is present; it is known from now on. */
  public boolean has(String key) {
    knownKeys.add(key);
    return entries.containsKey(key);
  }

  /** All keys in the order of the document; they are known from now on. */
  public List<String> keys() {
    knownKeys.addAll(entries.keySet());
    return new ArrayList<>(entries.keySet());
  }

  /** Returns the exception for a value that can't be used, to be thrown by the caller. */
  public InvalidConfigException invalid(String key, String reason) {
    Entry entry = entries.get(key);
    return new InvalidConfigException(
        file, entry == null ? line : entry.line, name + ": " + key + ": " + reason);
  }

  private Node required(String key) {
    if (!has(key)) {
      throw new InvalidConfigException(file, line, name + ": key " + key + " is absent");
    }
    return entries.get(key).value;
  }

  private YamlScalar scalar(String key) {
    if (!(required(key) instanceof ScalarNode node)) {
      throw invalid(key, "must be one value");
    }
    return new YamlScalar(this, key, node.getValue());
  }

  /** A plain value as it is written. */
  public String text(String key) {
    return scalar(key).text();
  }

  /** A plain value, or the default when the key is absent. */
  public String text(String key, String defaultValue) {
    return has(key) ? text(key) : defaultValue;
  }

  /** A number within bounds, both inclusive. */
  public double number(String key, double min, double max) {
    return scalar(key).number(min, max);
  }

  /** A number within bounds, both inclusive, or the default when the key is absent. */
  public double number(String key, double min, double max, double defaultValue) {
    return has(key) ? number(key, min, max) : defaultValue;
  }

  /** A whole number within bounds, both inclusive. */
  public int integer(String key, int min, int max) {
    return scalar(key).integer(min, max);
  }

  /** A whole number within bounds, both inclusive, or the default when the key is absent. */
  public int integer(String key, int min, int max, int defaultValue) {
    return has(key) ? integer(key, min, max) : defaultValue;
  }

  /** A duration with its unit, or 0. */
  public Duration duration(String key) {
    return scalar(key).duration();
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
    return scalar(key).choice(allowed);
  }

  /** The constant of an enum by its {@link EnumWords word}; the default when the key is absent. */
  public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    E[] constants = type.getEnumConstants();
    List<String> words = Arrays.stream(constants).map(EnumWords::wordOf).toList();
    return constants[words.indexOf(choice(key, words))];
  }

  /** A mapping under a key. */
  public YamlDocument section(String key) {
    return new YamlDocument(file, key, required(key));
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
      if (!(element instanceof ScalarNode node)) {
        throw new InvalidConfigException(
            file,
            YamlParser.lineOf(element),
            name + ": " + key + " must be a list of plain values");
      }
      texts.add(node.getValue());
    }
    return texts;
  }

  private List<Node> elements(String key) {
    if (!has(key)) {
      return List.of();
    }
    if (!(required(key) instanceof SequenceNode sequence)) {
      throw invalid(key, "must be a list");
    }
    return sequence.getValue();
  }

  /** Rejects keys that were never read; to be called once all values have been read. */
  public void rejectUnknownKeys() {
    entries.forEach(
        (key, entry) -> {
          if (!knownKeys.contains(key)) {
            throw new InvalidConfigException(
                file,
                entry.line,
                name + ": unknown key " + key + "; allowed are " + String.join(", ", knownKeys));
          }
        });
  }
}
