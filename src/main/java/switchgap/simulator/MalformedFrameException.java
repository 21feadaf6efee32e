package switchgap.simulator;

import java.io.IOException;

/** A frame that the wire does not allow; the process ends with its message. */
public final class MalformedFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    public MalformedFrameException(String message) {
        super(message);
    }
}
