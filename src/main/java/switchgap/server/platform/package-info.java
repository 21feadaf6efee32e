/**
 * The process of a router on the platform: its configuration ({@link
 * switchgap.server.platform.PlatformConfig}), its parts ({@link
 * switchgap.server.platform.PlatformAssembly}), its life from start to graceful shutdown ({@link
 * switchgap.server.platform.PlatformRouter}), signals and log. Nothing here may load classes that a
 * router on the platform does not need, as it starts on half a core.
 */
package switchgap.server.platform;
