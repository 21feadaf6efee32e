package switchgap.testbed.soak;

/** Starts the many short-lived threads of the emulators, with small stacks. */
final class DaemonThreads {
  private static final long STACK_BYTES = 128 << 10;

  private DaemonThreads() {}

  /** Starts a thread that does not keep the program alive. */
  static void start(String threadName, Runnable task) {
    Thread thread = new Thread(null, task, threadName, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }
}
