package switchgap.cli;

import picocli.CommandLine.IVersionProvider;

/** The version of the packaged jar. */
final class VersionProvider implements IVersionProvider {
  @Override
  public String[] getVersion() {
    String version = VersionProvider.class.getPackage().getImplementationVersion();
    return new String[] {"switchgap " + (version == null ? "(not packaged)" : version)};
  }
}
