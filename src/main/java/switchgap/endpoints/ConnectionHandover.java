package switchgap.endpoints;

import switchgap.net.HttpClientConnection;

/**
 * The connections of a client that switches from one connection to the next without a gap in what
 * it receives: the connection of the latest attempt, and the active connection, which delivered
 * data last and stays in use until the latest attempt delivers. Both may be the same connection.
 * Attempts are numbered, so that reports of an earlier attempt can be distinguished from those of
 * the latest one. Not thread-safe: the client must hold its lock.
 */
final class ConnectionHandover {
  private static final long NO_ATTEMPT = 0;

  private long latestAttempt = NO_ATTEMPT;

  /** The connection that was opened last, or null if none was opened or it was lost. */
  private HttpClientConnection latestConnection;

  private long activeAttempt = NO_ATTEMPT;
  private HttpClientConnection activeConnection;

  /** Starts an attempt or the wait for the next attempt, and returns its number. */
  long beginAttempt() {
    latestAttempt++;
    return latestAttempt;
  }

  boolean isLatest(long attempt) {
    return attempt == latestAttempt;
  }

  /**
   * Whether data from this attempt must be processed: it is the latest attempt or the active one.
   */
  boolean isCurrent(long attempt) {
    return attempt == latestAttempt || attempt == activeAttempt;
  }

  /**
   * Sets the connection of the latest attempt, and closes the connection that it replaces unless
   * that one is active.
   */
  void connectionOpened(HttpClientConnection newConnection) {
    closeUnlessActive(latestConnection);
    latestConnection = newConnection;
  }

  /**
   * Makes the connection of the latest attempt the active one, as it has delivered data. Closes the
   * connection that was active before.
   */
  void activateLatest() {
    if (activeAttempt == latestAttempt) {
      return;
    }
    if (activeConnection != null) {
      activeConnection.close();
    }
    activeConnection = latestConnection;
    activeAttempt = latestAttempt;
  }

  /** Closes the active connection if it belongs to this attempt. */
  void closeIfActive(long attempt) {
    if (attempt == activeAttempt) {
      activeAttempt = NO_ATTEMPT;
      activeConnection.close();
      activeConnection = null;
    }
  }

  /**
   * Closes the latest attempt's connection unless it is the active one, and starts the wait for the
   * next attempt. Further reports of the lost attempt are ignored.
   *
   * @return the number that distinguishes this wait from later attempts
   */
  long beginWait() {
    long waitingAttempt = beginAttempt();
    HttpClientConnection lostConnection = latestConnection;
    latestConnection = null;
    closeUnlessActive(lostConnection);
    return waitingAttempt;
  }

  private void closeUnlessActive(HttpClientConnection connection) {
    if (connection != null && connection != activeConnection) {
      connection.close();
    }
  }

  /** Closes both connections. */
  void close() {
    if (latestConnection != null) {
      latestConnection.close();
    }
    if (activeConnection != null) {
      activeConnection.close();
    }
  }
}
