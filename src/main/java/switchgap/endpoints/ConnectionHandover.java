package switchgap.endpoints;

import switchgap.net.HttpClientConnection;

/**
 * The two connections of a client that hands over from one connection to the next without a gap:
 * that of the latest attempt, and the active one, which delivered last and stays in use until the
 * latest delivers. They may be the same. Attempts are numbered, so that what an earlier attempt
 * still reports can be told from the latest. Not thread-safe: the client calls it under its lock.
 */
final class ConnectionHandover {
  private static final long NO_ATTEMPT = 0;

  private long latestAttempt = NO_ATTEMPT;

  /** The latest connection that was opened; null where none was, or it was lost. */
  private HttpClientConnection latestConnection;

  private long activeAttempt = NO_ATTEMPT;
  private HttpClientConnection activeConnection;

  /** Begins an attempt, or the wait for the next one; returns its number. */
  long beginAttempt() {
    latestAttempt++;
    return latestAttempt;
  }

  boolean isLatest(long attempt) {
    return attempt == latestAttempt;
  }

  /** Whether what this attempt delivers counts: it is the latest or the active one. */
  boolean isCurrent(long attempt) {
    return attempt == latestAttempt || attempt == activeAttempt;
  }

  /** The latest attempt's connection was opened; closes the one that it replaces. */
  void connectionOpened(HttpClientConnection opened) {
    closeUnlessActive(latestConnection);
    latestConnection = opened;
  }

  /** The latest attempt delivers: its connection is the active one from now on. */
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

  /** Closes the active connection if it is this attempt's. */
  void closeIfActive(long attempt) {
    if (attempt == activeAttempt) {
      activeAttempt = NO_ATTEMPT;
      activeConnection.close();
      activeConnection = null;
    }
  }

  /**
   * Closes the latest attempt's connection, unless it is the active one, and begins the wait for
   * the next attempt. Whatever the lost attempt still reports is ignored.
   *
   * @return the number by which the wait can be told from later attempts
   */
  long beginWait() {
    long waitingAttempt = beginAttempt();
    HttpClientConnection lost = latestConnection;
    latestConnection = null;
    closeUnlessActive(lost);
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
