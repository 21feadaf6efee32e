package switchgap.testbed.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A worker: takes RESP commands, answers after the time of their work, and misbehaves as it is
 * told.
 */
final class WorkerEmulator implements AutoCloseable {
  /** How a worker misbehaves for a while. */
  enum Misbehaviour {
    NONE,
    /** It reads and never answers. */
    HANGS,
    /** Its answers cannot be read. */
    SPOILS_ANSWERS,
    /** It answers twice. */
    ANSWERS_TWICE,
    /** It resets connections instead of answering. */
    RESETS,
    /** It turns everything away. */
    REJECTS
  }

  private static final Pattern MAX = Pattern.compile("max=(\\d+)");
  private static final int WORK_MILLIS = 20;
  private static final int BACKLOG = 200;

  /** The soak cannot tell apart what it does not read; one fault in so many answers. */
  private static final int SPOILT_EVERY = 5;

  private static final long STACK_BYTES = 128 << 10;

  final String name;
  private final SoakRecords records;
  private final ScheduledExecutorService timers;
  private final ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger answers = new AtomicInteger();
  private volatile Misbehaviour misbehaviour = Misbehaviour.NONE;
  private volatile int acceptDelayMillis;

  WorkerEmulator(String name, SoakRecords records, ScheduledExecutorService timers)
      throws IOException {
    this.name = name;
    this.records = records;
    this.timers = timers;
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    start("worker-" + name, this::accept);
  }

  static void start(String threadName, Runnable task) {
    Thread thread = new Thread(null, task, threadName, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void misbehave(Misbehaviour how) {
    misbehaviour = how;
  }

  /** Connections are taken up only after a delay. */
  void delayAccepts(int millis) {
    acceptDelayMillis = millis;
  }

  /** Closes all connections, with whatever is out on them. */
  void closeConnections() {
    connections.forEach(WorkerEmulator::closeQuietly);
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      return; // it is closed
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        int delay = acceptDelayMillis;
        start("worker-" + name, () -> serve(socket, delay));
      }
    } catch (IOException e) {
      return; // closed
    }
  }

  private void serve(Socket socket, int delay) {
    try (socket) {
      Thread.sleep(delay);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        handle(socket, readCommand(in));
      }
    } catch (IOException | InterruptedException e) {
      return; // the router closed the connection, or this side did
    } finally {
      connections.remove(socket);
    }
  }

  private static String[] readCommand(InputStream in) throws IOException {
    String[] words = new String[readNumber(in, '*')];
    for (int i = 0; i < words.length; i++) {
      words[i] = new String(in.readNBytes(readNumber(in, '$')), StandardCharsets.ISO_8859_1);
      in.skipNBytes(2);
    }
    return words;
  }

  private static int readNumber(InputStream in, char sign) throws IOException {
    if (in.read() != sign) {
      throw new EOFException();
    }
    int number = 0;
    for (int next = in.read(); next != '\r'; next = in.read()) {
      if (next < 0) {
        throw new EOFException();
      }
      number = number * 10 + next - '0';
    }
    in.read();
    return number;
  }

  private void handle(Socket socket, String[] words) throws IOException {
    switch (words[0]) {
      case "DO" -> execute(socket, words);
      case "PIN" -> answerLater(socket, 1, words[1], "data", "count=1", "");
      case "ECHO", "METER" ->
          answerLater(socket, 1, words[1], "well", "report=load_share:0.1;concurrent:1", "");
      default -> {} // UNDO and UNPIN have no answer
    }
  }

  private void execute(Socket socket, String[] words) throws IOException {
    Matcher max = MAX.matcher(words[2]);
    long maxMillis = max.find() ? Long.parseLong(max.group(1)) : Long.MAX_VALUE;
    Misbehaviour how = misbehaviour;
    boolean rejects = how == Misbehaviour.REJECTS;
    records.executions.add(
        new WorkerExecution(words[1], name, System.nanoTime(), maxMillis, !rejects));
    if (rejects) {
      answerLater(socket, 0, words[1], "full", "-", "");
    } else if (how == Misbehaviour.RESETS && answers.incrementAndGet() % SPOILT_EVERY == 0) {
      socket.setSoLinger(true, 0);
      socket.close();
    } else {
      answerLater(
          socket,
          WORK_MILLIS,
          words[1],
          "data",
          "report=load_share:0.1;concurrent:1",
          words[1] + ":" + words[3]);
    }
  }

  private void answerLater(Socket socket, int millis, String... parts) {
    if (misbehaviour != Misbehaviour.HANGS) {
      timers.schedule(() -> answer(socket, parts), millis, TimeUnit.MILLISECONDS);
    }
  }

  private void answer(Socket socket, String... parts) {
    byte[] answer = encode(parts);
    boolean touched = answers.incrementAndGet() % SPOILT_EVERY == 0;
    try {
      OutputStream out = socket.getOutputStream();
      synchronized (socket) {
        if (misbehaviour == Misbehaviour.SPOILS_ANSWERS && touched) {
          out.write("*4\r\n$-7\r\nnoise\r\n".getBytes(StandardCharsets.ISO_8859_1));
        } else {
          out.write(answer);
        }
        if (misbehaviour == Misbehaviour.ANSWERS_TWICE && touched) {
          out.write(answer);
        }
        out.flush();
      }
    } catch (IOException e) {
      return; // the connection has ended
    }
  }

  private static byte[] encode(String... parts) {
    StringBuilder text = new StringBuilder("*" + parts.length + "\r\n");
    for (String part : parts) {
      text.append('$').append(part.length()).append("\r\n").append(part).append("\r\n");
    }
    return text.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    listener.close();
    closeConnections();
  }
}
