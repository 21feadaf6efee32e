/**
 * Settings as operators write them: YAML documents and JSON objects, read with the place of each mistake, and the typed
 * router settings that they state.
 */
package switchgap.config;
