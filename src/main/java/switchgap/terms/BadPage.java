package switchgap.terms;

/** A page that can't be used: the message names file, line, key, reason and what is allowed. */
public final class BadPage extends RuntimeException {
    private static final long serialVersionUID = 1;

    public BadPage(String file, int line, String reason) {
        super(file + ":" + line + ": " + reason);
    }
}
