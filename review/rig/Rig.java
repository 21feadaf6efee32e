import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins for the platform, model servers and clients, shared by the cases of the review. */
final class Rig {
  private Rig() {}

  /** Whether the disruption is part of the run; run.sh passes on TROUBLE of its environment. */
  static final boolean TROUBLE = !"0".equals(System.getProperty("trouble"));

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static double nowMs() {
    return (System.nanoTime() - Recorder.START_NANOS) / 1e6;
  }

  interface Task {
    void run() throws Exception;
  }

  /** Starts a daemon thread; an I/O error ends it silently, as the peer is gone then. */
  static Thread daemon(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                return;
              } catch (Exception e) {
                e.printStackTrace();
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Writes what was sent, answered and run, with milliseconds since the start. */
  static final class Recorder {
    static final long START_NANOS = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.ISO_8859_1), false);
      line(TROUBLE ? "with the disruption" : "without the disruption");
    }

    void line(String format, Object... arguments) {
      String text = String.format(Locale.ROOT, format, arguments);
      synchronized (out) {
        out.printf(Locale.ROOT, "%10.2f %s%n", nowMs(), text);
      }
    }

    void close() {
      synchronized (out) {
        out.close();
      }
    }
  }

  /** The control feed: events numbered from 1, as server-sent events, and a comment each second. */
  static final class Feed {
    final List<String> events = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;

    Feed() throws IOException {
      listener = new ServerSocket(0, 50, LOOPBACK);
      daemon("feed", this::acceptAll);
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    private void acceptAll() throws IOException {
      while (true) {
        Socket socket = listener.accept();
        daemon("feed", () -> serve(socket));
      }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
      try (socket) {
        BufferedReader input =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        int sent = 0;
        for (String line = input.readLine(); line != null && !line.isEmpty(); ) {
          if (line.toLowerCase(Locale.ROOT).startsWith("last-event-id:")) {
            sent = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
          }
          line = input.readLine();
        }
        OutputStream out = socket.getOutputStream();
        out.write(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
        long nextComment = System.nanoTime();
        while (true) {
          for (; sent < events.size(); sent++) {
            String event = "id: " + (sent + 1) + "\ndata: " + events.get(sent) + "\n\n";
            out.write(event.getBytes(StandardCharsets.UTF_8));
          }
          if (System.nanoTime() >= nextComment) {
            out.write(": still here\n\n".getBytes(StandardCharsets.US_ASCII));
            nextComment += 1_000_000_000L;
          }
          Thread.sleep(10);
        }
      }
    }
  }

  /** One entry of a list of model servers. */
  static String target(String uid, int port, String state) {
    return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port
        + "\",\"az\":\"east\",\"model\":\"std\",\"pod_group\":0,\"state\":\"" + state
        + "\",\"capacity_hint\":4,\"boot_ms\":0}";
  }

  static String event(int number, boolean all, String... targets) {
    return "{\"n\":" + number + ",\"members\":{\"rev\":" + number + ",\"all\":" + all
        + ",\"targets\":[" + String.join(",", targets) + "]}}";
  }

  /** One router process, started by the command {@code run} of the deploy file. */
  static final class Router {
    private final Path directory;
    private final Path root;
    final int port;
    private final Path configFile;
    private final Path log;
    Process process;

    Router(Path root, Path directory) throws IOException {
      this.root = root;
      this.directory = directory;
      try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
        port = free.getLocalPort();
      }
      configFile = directory.resolve("config.json");
      log = directory.resolve("router.log");
    }

    private String runCommand() throws IOException {
      Matcher line =
          Pattern.compile("(?m)^run\\s*=\\s*\"(.*)\"\\s*(#.*)?$")
              .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
      if (!line.find()) {
        throw new IOException("deploy/balancer.toml has no line run");
      }
      return line.group(1);
    }

    void start(String settings, int sockets, Feed feed) throws IOException {
      String config =
          "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port
              + "\",\"seed\":\"" + String.format("%016x", System.nanoTime())
              + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
              + "},\"feed\":\"" + feed.address() + "\",\"known\":{\"n\":" + feed.events.size()
              + ",\"events\":[" + String.join(",", feed.events) + "]},\"settings\":" + settings
              + "}";
      Files.writeString(configFile, config);
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
      builder.directory(root.toFile());
      Map<String, String> environment = builder.environment();
      environment.put("NODE_NAME", "n0");
      environment.put("NODE_LISTEN", "127.0.0.1:" + port);
      environment.put("NODE_CONFIG", configFile.toString());
      environment.put("TMPDIR", directory.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(log.toFile());
      process = builder.start();
      Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** Waits until a heartbeat is answered with good = true; false if that takes over 30 s. */
    boolean awaitReady() {
      long end = System.nanoTime() + 30_000_000_000L;
      while (System.nanoTime() < end && process.isAlive()) {
        try (Client client = new Client(port)) {
          client.socket.setSoTimeout(2000);
          client.write(Thrift.heartbeat(1));
          if (client.read().good) {
            return true;
          }
        } catch (IOException e) {
          sleep(50);
        }
      }
      return false;
    }

    String log() throws IOException {
      return Files.readString(log, StandardCharsets.ISO_8859_1);
    }

    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    void end() {
      if (process != null && process.isAlive()) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  /** A reply to a client. */
  static final class Reply {
    String method;
    int sequence;
    /** ANSWER, FULL, ERROR or EXCEPTION. */
    String kind;
    byte[] body = {};
    boolean good;
    Map<String, String> fields = new LinkedHashMap<>();
  }

  /** Thrift, strict binary protocol with framed transport. */
  static final class Thrift {
    static byte[] submit(int sequence, Map<String, String> fields, byte[] body) throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      DataOutputStream out = new DataOutputStream(bytes);
      head(out, 1, "submit", sequence);
      out.writeByte(13);
      out.writeShort(1);
      out.writeByte(11);
      out.writeByte(11);
      out.writeInt(fields.size());
      for (Map.Entry<String, String> field : fields.entrySet()) {
        text(out, field.getKey());
        text(out, field.getValue());
      }
      out.writeByte(11);
      out.writeShort(2);
      out.writeInt(body.length);
      out.write(body);
      out.writeByte(0);
      return frame(bytes);
    }

    static byte[] heartbeat(int sequence) throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      DataOutputStream out = new DataOutputStream(bytes);
      head(out, 1, "heartbeat", sequence);
      out.writeByte(2);
      out.writeShort(1);
      out.writeByte(0);
      out.writeByte(0);
      return frame(bytes);
    }

    static byte[] revoke(int sequence, int revoked) throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      DataOutputStream out = new DataOutputStream(bytes);
      head(out, 4, "revoke", sequence);
      out.writeByte(8);
      out.writeShort(1);
      out.writeInt(revoked);
      out.writeByte(0);
      return frame(bytes);
    }

    private static void head(DataOutputStream out, int type, String method, int sequence)
        throws IOException {
      out.writeInt(0x80010000 | type);
      text(out, method);
      out.writeInt(sequence);
    }

    private static void text(DataOutputStream out, String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      out.writeInt(bytes.length);
      out.write(bytes);
    }

    private static byte[] frame(ByteArrayOutputStream content) throws IOException {
      ByteArrayOutputStream framed = new ByteArrayOutputStream();
      new DataOutputStream(framed).writeInt(content.size());
      content.writeTo(framed);
      return framed.toByteArray();
    }

    static Reply readReply(DataInputStream in) throws IOException {
      int length = in.readInt();
      if (length <= 0 || length > 1 << 20) {
        throw new IOException("a frame of " + length + " bytes");
      }
      byte[] frame = in.readNBytes(length);
      if (frame.length < length) {
        throw new EOFException();
      }
      DataInputStream message = new DataInputStream(new java.io.ByteArrayInputStream(frame));
      int type = message.readInt() & 0xff;
      Reply reply = new Reply();
      reply.method = readText(message);
      reply.sequence = message.readInt();
      if (type == 3) {
        reply.kind = "EXCEPTION";
        return reply;
      }
      // The result struct: field 0 is the answer, 1 refused, 2 failed.
      int fieldType = message.readByte();
      if (fieldType != 12) {
        throw new IOException("a result of type " + fieldType);
      }
      int id = message.readShort();
      reply.kind = id == 0 ? "ANSWER" : id == 1 ? "FULL" : "ERROR";
      for (int inner = message.readByte(); inner != 0; inner = message.readByte()) {
        message.readShort();
        switch (inner) {
          case 11 -> reply.body = message.readNBytes(message.readInt());
          case 2 -> reply.good = message.readByte() != 0;
          case 13 -> {
            message.readByte();
            message.readByte();
            int count = message.readInt();
            for (int i = 0; i < count; i++) {
              String name = readText(message);
              reply.fields.put(name, readText(message));
            }
          }
          default -> throw new IOException("a field of type " + inner);
        }
      }
      return reply;
    }

    private static String readText(DataInputStream in) throws IOException {
      return new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8);
    }
  }

  static Map<String, String> fields(
      String service, String ref, long allowMs, String function, String effort) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("service", service);
    fields.put("ref", ref);
    fields.put("allow", String.valueOf(allowMs));
    fields.put("project", "shop");
    fields.put("lookup", function);
    fields.put("effort", effort);
    fields.put("extras", "memory_mb:100;lanes:4");
    return fields;
  }

  /** A client connection that is used by one thread at a time. */
  static final class Client implements AutoCloseable {
    final Socket socket;
    private final DataInputStream in;

    Client(int port) throws IOException {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
      in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
    }

    void write(byte[] frame) throws IOException {
      socket.getOutputStream().write(frame);
    }

    Reply read() throws IOException {
      return Thrift.readReply(in);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** A model server's connection to a router. */
  static final class ServerConnection {
    final Socket socket;
    final Set<String> open = ConcurrentHashMap.newKeySet();

    ServerConnection(Socket socket) {
      this.socket = socket;
    }

    void answer(String... words) throws IOException {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.write(("*" + words.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      for (String word : words) {
        byte[] bytes = word.getBytes(StandardCharsets.ISO_8859_1);
        out.write(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
      }
      synchronized (this) {
        socket.getOutputStream().write(out.toByteArray());
      }
    }

    /** Ends the connection with a reset, as when a process dies. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** What a model server does with a request that has come whole. */
  interface Behaviour {
    void request(ServerConnection connection, String id, String fields, String body)
        throws IOException;
  }

  /** A model server. Loads succeed at once, probes are answered well. */
  static final class Server {
    final ServerSocket listener;
    final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    private final Behaviour behaviour;
    private final Recorder recorder;
    private volatile boolean paused;
    final String name;

    Server(String name, ServerSocket listener, Behaviour behaviour, Recorder recorder) {
      this.name = name;
      this.listener = listener;
      this.behaviour = behaviour;
      this.recorder = recorder;
    }

    int port() {
      return listener.getLocalPort();
    }

    void start() {
      daemon(name, this::acceptAll);
    }

    /** From now on connections wait in the kernel, and once its queue is full none comes up. */
    void pauseAccepting() throws IOException {
      paused = true;
      // Takes the place of the accept that is under way.
      new Socket(LOOPBACK, port()).close();
      sleep(50);
    }

    void resumeAccepting() {
      paused = false;
    }

    private void acceptAll() throws IOException {
      while (true) {
        while (paused) {
          sleep(1);
        }
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        ServerConnection connection = new ServerConnection(socket);
        connections.add(connection);
        daemon(name, () -> serve(connection));
      }
    }

    private void serve(ServerConnection connection) throws IOException {
      try (Socket socket = connection.socket) {
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        while (true) {
          String[] words = readCommand(in);
          switch (words[0]) {
            case "DO" -> behaviour.request(connection, words[1], words[2], words[3]);
            case "UNDO" -> {
              connection.open.remove(words[1]);
              recorder.line("%s UNDO %s", name, words[1]);
            }
            case "PIN" -> {
              String count = words[2].replaceAll(".*count=(\\d+).*", "$1");
              connection.answer(words[1], "data", "count=" + Math.max(1, Integer.parseInt(count)), "");
            }
            case "METER", "ECHO" ->
                connection.answer(words[1], "well", "report=load_share:0.1;concurrent:1", "");
            default -> {}
          }
        }
      } finally {
        connections.remove(connection);
      }
    }

    private static String[] readCommand(InputStream in) throws IOException {
      String[] words = new String[number(in, '*')];
      for (int i = 0; i < words.length; i++) {
        int length = number(in, '$');
        byte[] word = in.readNBytes(length);
        if (word.length < length) {
          throw new EOFException();
        }
        words[i] = new String(word, StandardCharsets.ISO_8859_1);
        in.skipNBytes(2);
      }
      return words;
    }

    private static int number(InputStream in, char type) throws IOException {
      if (in.read() != type) {
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
  }

  /** The settings of a small deployment, with some values replaced. */
  static String settings(String lanes, Map<String, String> replaced) {
    String text =
        "{\"Balancers\":1,\"Me\":0,\"MyZone\":0,\"TickUs\":1000,\"OverShareWorth\":0.2,"
            + "\"Weights\":\"rough\",\"Discovery\":\"automatic\",\"Zones\":[\"east\",\"west\"],"
            + "\"Skus\":[\"std\"],\"Costs\":{\"CrossZone\":0.0},\"Lanes\":" + lanes + ","
            + "\"Tenants\":[{\"Name\":\"shop\",\"QuotaPerS\":100000}],"
            + "\"Limits\":{\"MaxAttempts\":3,\"SecondCopies\":false,\"Probes\":true,"
            + "\"Cancel\":true,\"RetryAfter\":true,\"MaxRetryAfterUs\":900000,"
            + "\"DialTimeoutUs\":250000,\"ConnIdleUs\":4000000,\"Multiplex\":100,\"MaxOpen\":1000},"
            + "\"Guarantees\":{\"ColdFrom\":0.2,\"ColdUs\":4000000,\"FallMultiple\":3,"
            + "\"OverloadForUs\":1000000,\"AskWithinUs\":10000000,\"DrainGraceUs\":500000},"
            + "\"Extra\":{\"IfCold\":\"load\",\"PlacementCalls\":true,\"IdleLifeUs\":5000000,"
            + "\"LoadFree\":0,\"LoadRatio\":0,\"LoadSpanUs\":0,\"MemoryPrice\":0,"
            + "\"MachineMb\":[4000],\"LoadWaitUs\":4000000,\"SaysCompany\":true},"
            + "\"Telemetry\":{\"Fields\":[\"load_share\",\"concurrent\"],\"How\":\"piggyback\"}}";
    for (Map.Entry<String, String> entry : replaced.entrySet()) {
      text = text.replaceFirst("\"" + entry.getKey() + "\":[^,}]*",
          "\"" + entry.getKey() + "\":" + entry.getValue());
    }
    return text;
  }

  static String lane(
      String name, String effect, String group, long deadlineMs, long memorySpanMs) {
    return "{\"Name\":\"" + name + "\",\"AimUs\":300000,\"DeadlineUs\":" + deadlineMs * 1000
        + ",\"Worth\":1,\"LateValue\":0.1,\"Effect\":\"" + effect + "\",\"Group\":\"" + group
        + "\",\"MemorySpanUs\":" + memorySpanMs * 1000 + "}";
  }

  static ServerSocket listen(int backlog) throws IOException {
    return new ServerSocket(0, backlog, LOOPBACK);
  }
}
