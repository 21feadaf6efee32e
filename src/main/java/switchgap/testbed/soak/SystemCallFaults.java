package switchgap.testbed.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.Map;

/**
 * Controls a shared library that makes selected system calls of a process fail. LD_PRELOAD loads
 * the library into the process. This class and the library share a memory-mapped control file.
 * {@link #compile} builds the library from {@code system_call_faults.c}.
 */
public final class SystemCallFaults {
  /** System calls that can fail, in the order of the control file. */
  public enum Call {
    ACCEPT,
    SOCKET,
    CONNECT,
    READ,
    WRITE,
    /** The call {@code epoll_wait}. */
    WAIT
  }

  /** Errors that Linux documents for these calls, with their values of {@code errno}. */
  public enum ErrorNumber {
    /** No error: a read or write transfers only one byte. */
    SHORT(0),
    EINTR(4),
    ENOMEM(12),
    ENFILE(23),
    EMFILE(24),
    EADDRNOTAVAIL(99),
    ENETUNREACH(101),
    ECONNABORTED(103),
    ENOBUFS(105),
    ETIMEDOUT(110),
    EHOSTUNREACH(113);

    private final int number;

    ErrorNumber(int number) {
      this.number = number;
    }
  }

  private static final String SOURCE = "system_call_faults.c";
  private static final String LIBRARY = "libsystem_call_faults.so";

  /** Number of 32-bit words of each call in the control file. */
  private static final int WORDS_PER_CALL = 5;

  // Indexes of words within the words of one call.
  private static final int ERROR_WORD = 1;
  private static final int PORT_WORD = 2;
  private static final int AFFECTED_WORD = 4;

  /** Byte index of the wall clock's offset in the control file, aligned as in the C structure. */
  private static final int WALL_CLOCK_OFFSET_INDEX =
      alignToLong(Call.values().length * WORDS_PER_CALL * Integer.BYTES);

  private static final int CONTROL_BYTES = WALL_CLOCK_OFFSET_INDEX + Long.BYTES;

  private final Path library;
  private final Path controlFile;
  private final ByteBuffer control;

  private SystemCallFaults(Path library, Path controlFile) throws IOException {
    this.library = library;
    this.controlFile = controlFile;
    try (FileChannel channel =
        FileChannel.open(
            controlFile,
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE)) {
      control =
          channel
              .map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_BYTES)
              .order(ByteOrder.nativeOrder());
    }
  }

  private static int alignToLong(int bytes) {
    return (bytes + Long.BYTES - 1) / Long.BYTES * Long.BYTES;
  }

  /**
   * Compiles the library with {@code cc}, whose messages go to this program's standard error.
   *
   * @param directory directory that receives the source and the library
   * @return path of the library
   * @throws IOException if there is no C compiler or the compilation fails
   * @throws InterruptedException if the thread is interrupted while it waits for the compiler
   */
  public static Path compile(Path directory) throws IOException, InterruptedException {
    Path source = directory.resolve(SOURCE);
    Path library = directory.resolve(LIBRARY);
    try (InputStream sourceText = SystemCallFaults.class.getResourceAsStream(SOURCE)) {
      Files.copy(sourceText, source, StandardCopyOption.REPLACE_EXISTING);
    }
    Process compiler =
        new ProcessBuilder(
                "cc",
                "-O2",
                "-shared",
                "-fPIC",
                "-o",
                library.toString(),
                source.toString(),
                "-ldl")
            .inheritIO()
            .start();
    if (compiler.waitFor() != 0) {
      throw new IOException("cc failed to compile " + SOURCE);
    }
    return library;
  }

  /**
   * Creates the control file of one process, without any fault.
   *
   * @param library library that {@link #compile} built
   * @param controlFile control file to create
   * @throws IOException if the control file can't be written or mapped
   */
  public static SystemCallFaults of(Path library, Path controlFile) throws IOException {
    return new SystemCallFaults(library, controlFile);
  }

  /** Returns the environment variables that load the library into the process. */
  public Map<String, String> environment() {
    return Map.of("LD_PRELOAD", library.toString(), "SYSTEM_CALL_FAULTS", controlFile.toString());
  }

  /** Makes one in {@code callsPerFailure} calls fail, on any socket; 0 ends the failures. */
  public void inject(Call call, ErrorNumber error, int callsPerFailure) {
    inject(call, error, callsPerFailure, 0);
  }

  /**
   * Makes calls fail on sockets of one port.
   *
   * @param call the system call
   * @param error error that the calls fail with
   * @param callsPerFailure one in this many calls fails; 0 ends the failures
   * @param port port of the peer; a negative value is the negated local port; 0 means any socket
   */
  public void inject(Call call, ErrorNumber error, int callsPerFailure, int port) {
    int faultIndex = call.ordinal() * WORDS_PER_CALL * Integer.BYTES;
    control.putInt(faultIndex, 0);
    control.putInt(faultIndex + ERROR_WORD * Integer.BYTES, error.number);
    control.putInt(faultIndex + PORT_WORD * Integer.BYTES, port);
    control.putInt(faultIndex, callsPerFailure);
  }

  /** Ends the failures of all calls; the offset of the wall clock stays. */
  public void clear() {
    for (Call call : Call.values()) {
      control.putInt(call.ordinal() * WORDS_PER_CALL * Integer.BYTES, 0);
    }
  }

  /** Returns how many calls have failed or were shortened so far. */
  public int affectedCalls(Call call) {
    return control.getInt((call.ordinal() * WORDS_PER_CALL + AFFECTED_WORD) * Integer.BYTES);
  }

  /** Sets the offset of the process's wall clock; the monotonic clock is not affected. */
  public void setWallClockOffset(Duration offset) {
    control.putLong(WALL_CLOCK_OFFSET_INDEX, offset.toMillis());
  }
}
