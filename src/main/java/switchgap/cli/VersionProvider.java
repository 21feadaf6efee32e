package switchgap.cli;

import picocli.CommandLine.IVersionProvider;

/** Reads the version from the manifest of the jar; it is unknown if classes run without the jar. */
final class VersionProvider implements IVersionProvider {
  @Override
  public String[] getVersion() {
    String version = VersionProvider.class.getPackage().getImplementationVersion();
    return new String[] {"switchgap " + (version == null ? "(not packaged)" : version)};
  }
}
