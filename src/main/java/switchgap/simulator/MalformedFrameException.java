package switchgap.simulator;

import java.io.IOException;

/** A frame that violates the simulator's protocol; the process prints its message and exits. */
public final class MalformedFrameException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message the invalid field, with its record or byte offset in the frame
   */
  public MalformedFrameException(String message) {
    super(message);
  }
}
