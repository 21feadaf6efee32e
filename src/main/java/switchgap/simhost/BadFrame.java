package switchgap.simhost;

import java.io.IOException;

/** A frame that the wire does not allow; the process ends with its message. */
public final class BadFrame extends IOException {
    private static final long serialVersionUID = 1L;

    public BadFrame(String message) {
        super(message);
    }
}
