package switchgap.testbed.soak;

/** Starts threads with small stacks, as the emulators have many short-lived ones. */
final class DaemonThreads {
  private static final long STACK_BYTES = 128 << 10;

  private DaemonThreads() {}

  /** Starts a daemon thread, which does not keep the JVM running. */
  static void start(String threadName, Runnable task) {
    Thread thread = new Thread(null, task, threadName, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }
}
