package switchgap.platform;

/** What the platform gave can't be used: where, and why, in one line. */
final class Unusable extends Exception {
    private static final long serialVersionUID = 1;

    Unusable(String where, String why) { super(where + ": " + why); }
}
