/**
 * The process of a router on the platform: its configuration ({@link
 * switchgap.server.platform.PlatformConfig}), its components ({@link
 * switchgap.server.platform.PlatformAssembly}), its lifecycle from startup to graceful shutdown
 * ({@link switchgap.server.platform.PlatformRouter}), signals and log. This package must not load
 * classes that a router on the platform does not need, as the router starts with half a CPU core.
 */
package switchgap.server.platform;
