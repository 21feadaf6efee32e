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
 * Controls a shared library that LD_PRELOAD loads into a router and that makes chosen system calls
 * fail. The two share a memory-mapped control file. The source of the library is {@code
 * system_call_faults.c}; it is compiled when it is needed.
 */
public final class SystemCallFaults {
  /** The system calls that can fail, in the order of the control file. */
  public enum Call {
    ACCEPT,
    SOCKET,
    CONNECT,
    READ,
    WRITE,
    WAIT
  }

  /** Errors that Linux documents for these calls, with their numbers. */
  public enum ErrorNumber {
    /** No error: the transfer is cut to one byte. */
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
  private static final int WORDS_PER_CALL = 5;
  private static final int ERROR_WORD = 1;
  private static final int PORT_WORD = 2;
  private static final int AFFECTED_WORD = 4;
  private static final int WALL_OFFSET_AT =
      align(Call.values().length * WORDS_PER_CALL * Integer.BYTES);
  private static final int CONTROL_BYTES = WALL_OFFSET_AT + Long.BYTES;

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

  private static int align(int bytes) {
    return (bytes + Long.BYTES - 1) / Long.BYTES * Long.BYTES;
  }

  /**
   * Compiles the library.
   *
   * @return the library's path
   * @throws IOException if there is no C compiler, or it fails
   */
  public static Path compile(Path directory) throws IOException, InterruptedException {
    Path source = directory.resolve(SOURCE);
    Path library = directory.resolve(LIBRARY);
    try (InputStream text = SystemCallFaults.class.getResourceAsStream(SOURCE)) {
      Files.copy(text, source, StandardCopyOption.REPLACE_EXISTING);
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
      throw new IOException(SOURCE + " was not compiled");
    }
    return library;
  }

  /** Controls the faults of one process, none so far; creates the control file. */
  public static SystemCallFaults of(Path library, Path controlFile) throws IOException {
    return new SystemCallFaults(library, controlFile);
  }

  /** Variables that the process needs in its environment. */
  public Map<String, String> environment() {
    return Map.of("LD_PRELOAD", library.toString(), "SYSTEM_CALL_FAULTS", controlFile.toString());
  }

  /** Makes one call in so many fail, on any socket; 0 for none. */
  public void inject(Call call, ErrorNumber error, int every) {
    inject(call, error, every, 0);
  }

  /**
   * Makes one call in so many fail.
   *
   * @param every one call in so many; 0 for none
   * @param port of the peer, or negated the socket's own; 0 for any socket
   */
  public void inject(Call call, ErrorNumber error, int every, int port) {
    int offset = call.ordinal() * WORDS_PER_CALL * Integer.BYTES;
    control.putInt(offset, 0);
    control.putInt(offset + ERROR_WORD * Integer.BYTES, error.number);
    control.putInt(offset + PORT_WORD * Integer.BYTES, port);
    control.putInt(offset, every);
  }

  /** Ends the failures of all calls; the offset of the wall clock remains. */
  public void clear() {
    for (Call call : Call.values()) {
      control.putInt(call.ordinal() * WORDS_PER_CALL * Integer.BYTES, 0);
    }
  }

  /** Number of calls that failed or were shortened so far. */
  public int touched(Call call) {
    return control.getInt((call.ordinal() * WORDS_PER_CALL + AFFECTED_WORD) * Integer.BYTES);
  }

  /** Sets the offset of the process's wall clock; its monotonic clock is not affected. */
  public void setWallClockOffset(Duration offset) {
    control.putLong(WALL_OFFSET_AT, offset.toMillis());
  }
}
