/**
 * Settings as operators and the platform write them, read with the place of each error, and the
 * typed router settings that they state.
 *
 * <p>{@link switchgap.config.YamlRouterSettings} reads the gateway's YAML document, one {@code
 * *Section} record for each of its sections; {@link switchgap.config.PropertyRouterSettings} reads
 * the platform's JSON and the simulator's lines, both as values by path. The settings about
 * requests and about workers are in base classes of either. Input that can't be used is an {@link
 * switchgap.config.InvalidConfigException}.
 */
package switchgap.config;
