package switchgap.server.platform;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** A scripted worker on a plain socket, which records the commands that it receives. */
final class RespTestServer implements AutoCloseable {
  // Command names in the protocol.
  static final String EXECUTE = "DO";
  static final String CANCEL = "UNDO";
  static final String LOAD = "PIN";
  static final String LOAD_PROBE = "METER";
  static final String HEALTH_CHECK = "ECHO";

  // Reply statuses in the protocol.
  static final String SUCCEEDED = "data";
  static final String FAILED = "failed";
  static final String REJECTED = "full";
  static final String NOT_LOADED = "absent";
  static final String HEALTHY = "well";
  static final String UNHEALTHY = "ill";
  static final String NO_REPORT = "-";

  private static final int ACCEPT_BACKLOG = 50;

  /**
   * A received command.
   *
   * @param connection number of its connection, counted from 0
   * @param words the command's name and arguments
   * @param receivedNanos the {@link System#nanoTime} when the command was completely received
   */
  record Command(int connection, List<String> words, long receivedNanos) {
    String name() {
      return words.get(0);
    }

    boolean isExecution() {
      return name().equals(EXECUTE);
    }

    /** The request id, or an empty string if the command has none. */
    String id() {
      return words.size() > 1 ? words.get(1) : "";
    }

    String options() {
      return words.get(2);
    }

    /** The request body; only for executions. */
    String body() {
      return words.get(3);
    }
  }

  /** Handles received commands. */
  interface CommandHandler {
    /**
     * Handles a command and may write replies to the output; returns false to close the connection.
     */
    boolean handle(Command command, OutputStream output) throws IOException, InterruptedException;
  }

  private final CommandHandler handler;
  private final List<Command> received = new CopyOnWriteArrayList<>();
  private final List<Socket> openSockets = new CopyOnWriteArrayList<>();
  private final ServerSocket listener =
      new ServerSocket(0, ACCEPT_BACKLOG, InetAddress.getLoopbackAddress());

  RespTestServer(CommandHandler handler) throws IOException {
    this.handler = handler;
    startDaemon(this::acceptConnections);
  }

  /** Starts a worker that executes every request. */
  static RespTestServer executingAll() throws IOException {
    return new RespTestServer(RespTestServer::executeAll);
  }

  /** Starts a worker that replies to executions only after the latch has opened. */
  static RespTestServer executingAfter(CountDownLatch allowReply) throws IOException {
    return new RespTestServer(
        (command, output) -> {
          if (command.isExecution()) {
            allowReply.await();
          }
          return executeAll(command, output);
        });
  }

  /** Starts a worker that never replies to an execution. */
  static RespTestServer neverReplying() throws IOException {
    return new RespTestServer(
        (command, output) -> command.isExecution() || executeAll(command, output));
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections() {
    try {
      for (int connection = 0; ; connection++) {
        Socket socket = listener.accept();
        int number = connection;
        socket.setTcpNoDelay(true);
        openSockets.add(socket);
        startDaemon(() -> serve(socket, number));
      }
    } catch (IOException e) {
      return; // this server was closed
    }
  }

  private void serve(Socket socket, int connection) {
    try (socket) {
      InputStream input = new BufferedInputStream(socket.getInputStream());
      boolean isOpen = true;
      while (isOpen) {
        Command command = new Command(connection, readWords(input), System.nanoTime());
        received.add(command);
        isOpen = handler.handle(command, socket.getOutputStream());
      }
    } catch (IOException | InterruptedException e) {
      return; // the router closed the connection
    }
  }

  private static List<String> readWords(InputStream input) throws IOException {
    String[] words = new String[(int) readLength(input, '*')];
    for (int i = 0; i < words.length; i++) {
      byte[] word = input.readNBytes((int) readLength(input, '$'));
      words[i] = new String(word, StandardCharsets.ISO_8859_1);
      input.skipNBytes(2); // skips the line end
    }
    return List.of(words);
  }

  private static long readLength(InputStream input, char prefix) throws IOException {
    int next = input.read();
    if (next < 0) {
      throw new EOFException();
    }
    if (next != prefix) {
      throw new IOException("expected " + prefix);
    }
    long length = 0;
    for (next = input.read(); next != '\r'; next = input.read()) {
      length = length * 10 + next - '0';
    }
    input.read();
    return length;
  }

  static void sendReply(OutputStream output, String... words) throws IOException {
    StringBuilder reply = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      reply.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    output.write(reply.toString().getBytes(StandardCharsets.ISO_8859_1));
    output.flush();
  }

  /** Replies to an execution with the request's id and body, and to other commands with success. */
  static boolean executeAll(Command command, OutputStream output) throws IOException {
    switch (command.name()) {
      case EXECUTE ->
          sendReply(
              output,
              command.id(),
              SUCCEEDED,
              "report=load_share:0.1;concurrent:1",
              command.id() + ":" + command.body());
      case LOAD -> sendReply(output, command.id(), SUCCEEDED, "count=1", "");
      case HEALTH_CHECK, LOAD_PROBE -> sendReply(output, command.id(), HEALTHY, NO_REPORT, "");
      default -> {}
    }
    return true;
  }

  /** All commands received so far. */
  List<Command> received() {
    return received;
  }

  /** The commands with the given name that were received so far. */
  List<Command> received(String name) {
    return received.stream().filter(command -> command.name().equals(name)).toList();
  }

  /** The executions received so far. */
  List<Command> executions() {
    return received(EXECUTE);
  }

  int port() {
    return listener.getLocalPort();
  }

  String address() {
    return "127.0.0.1:" + port();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : openSockets) {
      socket.close();
    }
  }
}
