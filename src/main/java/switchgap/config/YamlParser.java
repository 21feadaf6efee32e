package switchgap.config;

import java.io.StringReader;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.Node;

/** Parses YAML text; its size, nesting depth and number of aliases are limited. */
final class YamlParser {
  static final int MAX_DOCUMENT_BYTES = 4 << 20;
  private static final int MAX_ALIASES = 20;
  private static final int MAX_DEPTH = 20;

  private YamlParser() {}

  /**
   * Returns the root node of a document.
   *
   * @param file name of the document in error messages
   * @throws InvalidConfigException if the text is empty, is not valid YAML, or exceeds a limit
   */
  static Node parse(String file, String text) {
    LoaderOptions options = new LoaderOptions();
    options.setMaxAliasesForCollections(MAX_ALIASES);
    options.setNestingDepthLimit(MAX_DEPTH);
    options.setCodePointLimit(MAX_DOCUMENT_BYTES);
    try {
      Node root = new Yaml(options).compose(new StringReader(text));
      if (root == null) {
        throw new InvalidConfigException(file, 1, "the document is empty");
      }
      return root;
    } catch (MarkedYAMLException e) {
      int line = e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1;
      throw new InvalidConfigException(file, line, "invalid YAML: " + e.getProblem());
    } catch (YAMLException e) {
      throw new InvalidConfigException(file, 1, "invalid YAML: " + e.getMessage());
    }
  }

  /** The line on which a node begins, counted from 1; 1 if the parser did not record it. */
  static int lineOf(Node node) {
    return node.getStartMark() == null ? 1 : node.getStartMark().getLine() + 1;
  }
}
