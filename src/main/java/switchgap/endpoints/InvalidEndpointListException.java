package switchgap.endpoints;

import java.io.IOException;

/** An endpoint list or an event of it that can't be used; the message says where and why. */
public final class InvalidEndpointListException extends IOException {
  private static final long serialVersionUID = 1;

  InvalidEndpointListException(String message) {
    super(message);
  }

  InvalidEndpointListException(String message, Throwable cause) {
    super(message, cause);
  }
}
