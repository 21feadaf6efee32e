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
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/**
 * A mapping of a YAML page. Each value is asked for by key and kind; a key that nobody asked for is refused by
 * {@link #done()}, with the keys that are allowed. Spans are written 250ms, 1.5s, 2m; shares are numbers.
 */
public final class YamlDocument {
    private static final Pattern SPAN = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*(us|ms|s|m|h)");
    private static final int MOST_BYTES = 4 << 20;
    private final String file;
    private final String name;
    private final int line;
    private final Map<String, Node> values = new LinkedHashMap<>();
    private final Map<String, Integer> lines = new LinkedHashMap<>();
    private final TreeSet<String> known = new TreeSet<>();

    private YamlDocument(String file, String name, Node node) {
        this.file = file;
        this.name = name;
        this.line = line(node);
        if (!(node instanceof MappingNode m)) {
            throw new InvalidConfigException(file, line, name + " must be a mapping of keys to values");
        }
        for (NodeTuple t : m.getValue()) {
            String key = t.getKeyNode() instanceof ScalarNode s ? s.getValue() : null;
            if (key == null) {
                throw new InvalidConfigException(file, line(t.getKeyNode()),
                    "a key of " + name + " must be plain text");
            }
            if (values.put(key, t.getValueNode()) != null) {
                throw new InvalidConfigException(file, line(t.getKeyNode()),
                    "key " + key + " stands twice in " + name
                        + ", first in line " + lines.get(key));
            }
            lines.put(key, line(t.getKeyNode()));
        }
    }

    public static YamlDocument read(Path path) throws IOException {
        if (Files.size(path) > MOST_BYTES) {
            throw new InvalidConfigException(path.toString(), 1, "larger than " + MOST_BYTES + " bytes");
        }
        return read(path.toString(), Files.readString(path));
    }

    public static YamlDocument read(String file, String text) {
        LoaderOptions bounds = new LoaderOptions();
        bounds.setMaxAliasesForCollections(20);
        bounds.setNestingDepthLimit(20);
        bounds.setCodePointLimit(MOST_BYTES);
        try {
            Node root = new Yaml(bounds).compose(new java.io.StringReader(text));
            if (root == null) {
                throw new InvalidConfigException(file, 1, "the page is empty");
            }
            return new YamlDocument(file, "the page", root);
        } catch (MarkedYAMLException e) {
            throw new InvalidConfigException(file,
                e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1,
                "no YAML: " + e.getProblem());
        } catch (org.yaml.snakeyaml.error.YAMLException e) {
            throw new InvalidConfigException(file, 1, "no YAML: " + e.getMessage());
        }
    }

    private static int line(Node n) {
        return n.getStartMark() == null ? 1 : n.getStartMark().getLine() + 1;
    }

    public boolean has(String key) {
        known.add(key);
        return values.containsKey(key);
    }

    public List<String> keys() {
        known.addAll(values.keySet());
        return new ArrayList<>(values.keySet());
    }

    public InvalidConfigException invalid(String key, String reason) {
        return new InvalidConfigException(file, lines.getOrDefault(key, line),
            name + ": " + key + ": " + reason);
    }

    public String text(String key) {
        if (!has(key)) {
            throw new InvalidConfigException(file, line, name + ": key " + key + " is absent");
        }
        if (!(values.get(key) instanceof ScalarNode s)) {
            throw invalid(key, "must be one value");
        }
        return s.getValue();
    }

    public String text(String key, String otherwise) {
        return has(key) ? text(key) : otherwise;
    }

    /** A number within bounds, both included. */
    public double number(String key, double least, double most) {
        try {
            double v = Double.parseDouble(text(key));
            if (v >= least && v <= most) {
                return v;
            }
        } catch (NumberFormatException e) {
            throw invalid(key, "'" + text(key) + "' is no number");
        }
        throw invalid(key, "'" + text(key) + "' must lie from " + plain(least) + " to " + plain(most));
    }

    public double number(String key, double least, double most, double otherwise) {
        return has(key) ? number(key, least, most) : otherwise;
    }

    public int integer(String key, int least, int most) {
        double v = number(key, least, most);
        if (v != Math.rint(v)) {
            throw invalid(key, "'" + text(key) + "' must be a whole number");
        }
        return (int) v;
    }

    public int integer(String key, int least, int most, int otherwise) {
        return has(key) ? integer(key, least, most) : otherwise;
    }

    private static String plain(double v) {
        return v == Math.rint(v) && Math.abs(v) < 1e9 ? Long.toString((long) v) : Double.toString(v);
    }

    public Duration duration(String key) {
        Matcher m = SPAN.matcher(text(key).trim());
        if (text(key).trim().equals("0")) {
            return Duration.ZERO;
        }
        if (!m.matches()) {
            throw invalid(key, "'" + text(key) + "' is no span; write 250ms, 1.5s, 2m or 1h");
        }
        double unit = switch (m.group(2)) {
            case "us" -> 1e3;
            case "ms" -> 1e6;
            case "s" -> 1e9;
            case "m" -> 60e9;
            default -> 3600e9;
        };
        double ns = Double.parseDouble(m.group(1)) * unit;
        if (ns > 1e17) {
            throw invalid(key, "'" + text(key) + "' is too long");
        }
        return Duration.ofNanos(Math.round(ns));
    }

    public Duration duration(String key, Duration otherwise) {
        return has(key) ? duration(key) : otherwise;
    }

    public boolean flag(String key, boolean otherwise) {
        return has(key) ? choice(key, List.of("true", "false")).equals("true") : otherwise;
    }

    public String choice(String key, List<String> allowed) {
        String v = text(key);
        if (!allowed.contains(v)) {
            throw invalid(key, "'" + v + "' must be one of " + String.join(", ", allowed));
        }
        return v;
    }

    public <E extends Enum<E>> E choice(String key, Class<E> kind, E otherwise) {
        if (!has(key)) {
            return otherwise;
        }
        List<String> words = Arrays.stream(kind.getEnumConstants()).map(YamlDocument::word).toList();
        return kind.getEnumConstants()[words.indexOf(choice(key, words))];
    }

    /** One of the document's words for a choice, each standing for a value; null where the key is absent. */
    public <T> T choice(String key, Map<String, T> words) {
        return has(key) ? words.get(choice(key, List.copyOf(words.keySet()))) : null;
    }

    public static String word(Enum<?> e) {
        return e.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    public YamlDocument section(String key) {
        if (!has(key)) {
            throw new InvalidConfigException(file, line, name + ": key " + key + " is absent");
        }
        return new YamlDocument(file, key, values.get(key));
    }

    /** A mapping, or an empty one when the key is absent. */
    public YamlDocument optionalSection(String key) {
        return has(key) ? section(key)
            : new YamlDocument(file, key, new MappingNode(org.yaml.snakeyaml.nodes.Tag.MAP, List.of(),
                org.yaml.snakeyaml.DumperOptions.FlowStyle.BLOCK));
    }

    /** The mappings of a list; empty when the key is absent. */
    public List<YamlDocument> sections(String key) {
        if (!has(key)) {
            return List.of();
        }
        if (!(values.get(key) instanceof SequenceNode s)) {
            throw invalid(key, "must be a list");
        }
        List<YamlDocument> all = new ArrayList<>();
        for (Node n : s.getValue()) {
            all.add(new YamlDocument(file, key + " " + all.size(), n));
        }
        return all;
    }

    public List<String> textList(String key) {
        if (!has(key)) {
            return List.of();
        }
        if (!(values.get(key) instanceof SequenceNode s)) {
            throw invalid(key, "must be a list");
        }
        List<String> all = new ArrayList<>();
        for (Node n : s.getValue()) {
            if (!(n instanceof ScalarNode t)) {
                throw new InvalidConfigException(file, line(n),
                    name + ": " + key + " must be a list of plain values");
            }
            all.add(t.getValue());
        }
        return all;
    }

    /** Refuses keys that nobody asked for. */
    public void rejectUnknownKeys() {
        for (String key : values.keySet()) {
            if (!known.contains(key)) {
                throw new InvalidConfigException(file, lines.get(key),
                    name + ": unknown key " + key + "; allowed are "
                        + String.join(", ", known));
            }
        }
    }
}
