/**
 * Settings as operators write them: YAML documents and JSON objects, read with the place of each
 * mistake, and the typed router settings that they state.
 *
 * <p>{@link switchgap.config.YamlRouterSettings} reads the gateway's YAML document, one {@code
 * *Section} record for each of its sections; {@link switchgap.config.PropertyRouterSettings} reads
 * the platform's JSON and the simulator's lines, both as values by path. Input that can't be used
 * is an {@link switchgap.config.InvalidConfigException}.
 */
package switchgap.config;
