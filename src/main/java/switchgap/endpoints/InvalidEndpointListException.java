package switchgap.endpoints;

import java.io.IOException;

/**
 * Thrown when an endpoint list or an endpoint list event is invalid. The message states the
 * location and the reason.
 */
public final class InvalidEndpointListException extends IOException {
  private static final long serialVersionUID = 1;

  InvalidEndpointListException(String message) {
    super(message);
  }

  InvalidEndpointListException(String message, Throwable cause) {
    super(message, cause);
  }
}
