package switchgap.testbed.process;

import java.io.IOException;

/**
 * Signals that a test bed sends to processes under test, named as the {@code kill} command does.
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
  /** Asks the process to read its configuration again. */
  HUP,
  /** Interrupts the process, as a terminal does. */
  INT;

  /**
   * Sends this signal and waits until it was sent.
   *
   * @param process the receiver
   * @return whether {@code kill} succeeded
   * @throws IOException if there is no {@code kill} command on this system
   * @throws InterruptedException if the thread is interrupted meanwhile
   */
  public boolean send(Process process) throws IOException, InterruptedException {
    String receiver = String.valueOf(process.pid());
    return new ProcessBuilder("kill", "-" + name(), receiver).start().waitFor() == 0;
  }
}
