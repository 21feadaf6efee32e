package switchgap.server.platform;

/** What the platform gave can't be used: where, and why, in one line. */
final class InvalidPlatformConfigException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidPlatformConfigException(String where, String why) { super(where + ": " + why); }
}
