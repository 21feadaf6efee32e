package switchgap.config;

/** A page that can't be used: the message names file, line, key, reason and what is allowed. */
public final class InvalidConfigException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public InvalidConfigException(String file, int line, String reason) {
        super(file + ":" + line + ": " + reason);
    }
}
