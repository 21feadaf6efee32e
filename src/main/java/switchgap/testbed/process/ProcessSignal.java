package switchgap.testbed.process;

import java.io.IOException;

/**
 * Signals that a test bed sends to processes under test. Constants have the names that the {@code
 * kill} command expects.
 */
public enum ProcessSignal {
  /** Asks for a graceful shutdown. */
  TERM,
  /** Ends the process at once. */
  KILL,
  /** Suspends the process. */
  STOP,
  /** Resumes a suspended process. */
  CONT,
  /** Asks the process to reload its configuration. */
  HUP,
  /** Interrupts the process, as Ctrl-C in a terminal does. */
  INT;

  /**
   * Sends this signal and waits until the {@code kill} command has ended.
   *
   * @param process the receiver
   * @return whether {@code kill} succeeded; false, for example, if the process has exited
   * @throws IOException if the {@code kill} command can't be started
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public boolean send(Process process) throws IOException, InterruptedException {
    String receiver = String.valueOf(process.pid());
    return new ProcessBuilder("kill", "-" + name(), receiver).start().waitFor() == 0;
  }
}
