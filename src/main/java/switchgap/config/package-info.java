/**
 * Reads settings that operators and the platform write, and provides them as typed router settings.
 * Error messages name the place of the invalid value.
 *
 * <p>{@link switchgap.config.YamlRouterSettings} reads the gateway's YAML document, with one {@code
 * *Section} record for each section. {@link switchgap.config.PropertyRouterSettings} reads the
 * platform's JSON and the simulator's lines of path=value; both become a map of values by path.
 * Each of the two classes inherits the settings of requests and of workers from base classes.
 * Invalid YAML is reported by an {@link switchgap.config.InvalidConfigException}, an invalid value
 * by path by an {@link java.lang.IllegalArgumentException} when it is read.
 */
package switchgap.config;
