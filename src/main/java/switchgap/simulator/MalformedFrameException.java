package switchgap.simulator;

import java.io.IOException;

/** A frame that the simulator's protocol does not allow; the process ends with its message. */
public final class MalformedFrameException extends IOException {
  private static final long serialVersionUID = 1L;

  /** The message says which record or byte is at fault. */
  public MalformedFrameException(String message) {
    super(message);
  }
}
