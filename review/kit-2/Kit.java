import java.io.*;
import java.net.*;
import java.nio.ByteBuffer;
import java.nio.channels.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;

/** Stand-ins for clients, model servers and the control feed of the platform, and process control. */
final class Kit {
  static final long START = System.nanoTime();
  static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
  static final ScheduledExecutorService TIMERS =
      Executors.newScheduledThreadPool(4, r -> daemon(r, "timers"));
  private static PrintWriter recordFile;
  private static Path temporary;

  /** For this long a process may keep processor time that it has not used. */
  private static final double SHARE_PERIOD = 0.1;

  private Kit() {}

  static Thread daemon(Runnable r, String name) {
    Thread t = new Thread(r, name);
    t.setDaemon(true);
    return t;
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static double seconds() {
    return (System.nanoTime() - START) / 1e9;
  }

  static synchronized void openRecord(Path file) throws IOException {
    recordFile = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Writes one line to record.txt, with the seconds since the start of the case. */
  static synchronized void record(String line) {
    recordFile.printf(Locale.ROOT, "%9.3f %s%n", seconds(), line);
    recordFile.flush();
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep(Math.max(0, Math.round(seconds * 1000)));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static int freePort(String host) throws IOException {
    try (ServerSocket s = new ServerSocket()) {
      s.bind(new InetSocketAddress(host, 0));
      return s.getLocalPort();
    }
  }

  /** Runs a case: its exit code is 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
  static void run(Path directory, Callable<Boolean> body) throws IOException {
    openRecord(directory.resolve("record.txt"));
    temporary = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(Kit::endProcesses)); // ended from outside
    record("case " + directory.getFileName() + ", TROUBLE=" + (trouble() ? 1 : 0));
    int code = 2;
    try {
      boolean held = body.call();
      code = held ? 0 : 1;
      record(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
    } catch (Throwable e) {
      StringWriter trace = new StringWriter();
      e.printStackTrace(new PrintWriter(trace));
      record("RESULT: the case couldn't run: " + trace);
    }
    endProcesses();
    System.out.println("exit " + code + ", see record.txt");
    Runtime.getRuntime().halt(code);
  }

  private static void endProcesses() {
    for (Process process : PROCESSES) {
      process.descendants().forEach(ProcessHandle::destroyForcibly);
      process.destroyForcibly();
    }
    for (File file : temporary.toFile().listFiles()) {
      file.delete();
    }
    temporary.toFile().delete();
  }

  /** A path in the temporary folder of this run. */
  static Path temporary(String name) {
    return temporary.resolve(name);
  }

  /** Writes what a process has logged to record.txt. */
  static void recordLog(String name) throws IOException {
    for (String line : Files.readAllLines(temporary(name))) {
      record(name + ": " + line);
    }
  }

  /** Starts a shell command (which ends by exec) as a process of its own. */
  static Process start(Path directory, String command, Map<String, String> env, Path log)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
    builder.directory(directory.toFile());
    builder.environment().putAll(env);
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    Process process = builder.start();
    PROCESSES.add(process);
    return process;
  }

  static void signal(Process process, String name) throws IOException, InterruptedException {
    record("signal " + name + " to process " + process.pid());
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }

  /** The command of a line of deploy/balancer.toml. */
  static String deployCommand(Path root, String key) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith(key + " = \"")) {
        return line.substring(key.length() + 4, line.lastIndexOf('"'));
      }
    }
    throw new IOException("no line " + key);
  }

  /** The load report of a model server that has little to do. */
  static final String REPORT = "report=load_share:0.3;concurrent:1";

  static void after(double seconds, Runnable task) {
    TIMERS.schedule(task, Math.round(seconds * 1000), TimeUnit.MILLISECONDS);
  }

  /** The fields of a request for a function, of the workload that runs once or the other one. */
  static Map<String, String> request(Random random, String function, boolean runsOnce) {
    return Map.of(
        "service", runsOnce ? "notice-send" : "status-refresh",
        "ref", hex(random),
        "allow", runsOnce ? "3000" : "2500",
        "project", "shop",
        "lookup", function,
        "effort", "20",
        "extras", "memory_mb:500;lanes:2");
  }

  /** Starts a router of the platform with the command `run` of the deploy file. */
  static Process startRouter(
      Path root, InetSocketAddress listen, Feed feed, String targets, String settings)
      throws IOException {
    return startRouter(root, listen, feed, targets, settings, 1);
  }

  /** Starts a router that is told its share of a core; see {@link #limitProcessor}. */
  static Process startRouter(
      Path root,
      InetSocketAddress listen,
      Feed feed,
      String targets,
      String settings,
      double cores)
      throws IOException {
    String address = listen.getHostString() + ":" + listen.getPort();
    String config =
        "{\"name\":\"n1\",\"listen\":\"" + address + "\",\"seed\":\"8c1f30d27a5be964\","
            + "\"limits\":{\"cores\":" + cores + ",\"memory_mb\":192,\"sockets\":1024},\"feed\":\""
            + feed.address() + "\",\"known\":{\"n\":1,\"events\":[{\"n\":1,\"members\":{\"rev\":1,"
            + "\"all\":true,\"targets\":[" + targets + "]}}]},\"settings\":" + settings + "}";
    Path file = temporary("config.json");
    Files.writeString(file, config);
    Map<String, String> environment =
        Map.of("NODE_NAME", "n1", "NODE_LISTEN", address, "NODE_CONFIG", file.toString());
    return start(root, deployCommand(root, "run"), environment, temporary("router.log"));
  }

  /**
   * Keeps a process to its share of a core, as the platform does: it is stopped while it has used
   * more processor time than its share. Unused time is kept for 0.1 s at most.
   */
  static void limitProcessor(Process process, double share) throws IOException {
    Process shell = new ProcessBuilder("/bin/sh").start();
    PROCESSES.add(shell);
    Writer signals = new OutputStreamWriter(shell.getOutputStream(), StandardCharsets.US_ASCII);
    daemon(
            () -> {
              try {
                double credit = share * SHARE_PERIOD;
                double last = seconds();
                double lastUsed = processorSeconds(process);
                boolean stopped = false;
                while (process.isAlive()) {
                  sleep(0.005);
                  double now = seconds();
                  double used = processorSeconds(process);
                  credit += share * (now - last) - (used - lastUsed);
                  credit = Math.min(credit, share * SHARE_PERIOD);
                  last = now;
                  lastUsed = used;
                  if (stopped != credit < 0) {
                    stopped = credit < 0;
                    signals.write("kill -" + (stopped ? "STOP " : "CONT ") + process.pid() + "\n");
                    signals.flush();
                  }
                }
              } catch (IOException e) {
                record("share of a core: " + e); // the process has ended
              }
            },
            "share")
        .start();
  }

  /** The processor time of a process, in seconds. */
  static double processorSeconds(Process process) throws IOException {
    Path stat = Path.of("/proc/" + process.pid() + "/stat");
    if (!process.isAlive() || !Files.exists(stat)) {
      return 0;
    }
    String[] fields = Files.readString(stat).split(" ");
    return (Long.parseLong(fields[13]) + Long.parseLong(fields[14])) / 100.0;
  }

  /** The resident memory of a process, as the system tells it. */
  static String residentMemory(Process process) throws IOException {
    Path status = Path.of("/proc/" + process.pid() + "/status");
    if (process.isAlive() && Files.exists(status)) {
      for (String line : Files.readAllLines(status)) {
        if (line.startsWith("VmRSS:")) {
          return line.substring(6).trim();
        }
      }
    }
    return "none";
  }

  static String hex(Random random) {
    return String.format("%016x", random.nextLong());
  }

  // ------------------------------------------------------------------ client of the platform

  /** How a request ended: served with a body, refused, failed, or its connection ended. */
  record Answer(String kind, byte[] body, double at) {}

  /** A client's connection: framed Thrift, strict binary protocol. */
  static final class Client {
    final Socket socket = new Socket();
    private final DataOutputStream out;
    private final DataInputStream in;
    private int lastSequence;
    private final Map<Integer, CompletableFuture<Answer>> open = new ConcurrentHashMap<>();
    volatile boolean ended;

    Client(InetSocketAddress router) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(router, 1000);
      out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      daemon(this::read, "client").start();
    }

    int openCount() {
      return open.size();
    }

    CompletableFuture<Answer> submit(Map<String, String> fields, byte[] body) throws IOException {
      CompletableFuture<Answer> answer = new CompletableFuture<>();
      byte[] bytes;
      synchronized (this) {
        int sequence = ++lastSequence;
        open.put(sequence, answer);
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        DataOutputStream message = new DataOutputStream(buffer);
        header(message, "submit", 1, sequence);
        message.writeByte(13);
        message.writeShort(1);
        message.writeByte(11);
        message.writeByte(11);
        message.writeInt(fields.size());
        for (Map.Entry<String, String> field : fields.entrySet()) {
          string(message, field.getKey().getBytes(StandardCharsets.UTF_8));
          string(message, field.getValue().getBytes(StandardCharsets.UTF_8));
        }
        message.writeByte(11);
        message.writeShort(2);
        string(message, body);
        message.writeByte(0);
        bytes = buffer.toByteArray();
        send(bytes);
      }
      if (ended) {
        answer.complete(new Answer("closed", null, seconds()));
      }
      return answer;
    }

    synchronized CompletableFuture<Answer> heartbeat() throws IOException {
      CompletableFuture<Answer> answer = new CompletableFuture<>();
      int sequence = ++lastSequence;
      open.put(sequence, answer);
      ByteArrayOutputStream buffer = new ByteArrayOutputStream();
      DataOutputStream message = new DataOutputStream(buffer);
      header(message, "heartbeat", 1, sequence);
      message.writeByte(2);
      message.writeShort(1);
      message.writeByte(1);
      message.writeByte(0);
      send(buffer.toByteArray());
      return answer;
    }

    private static void header(DataOutputStream message, String method, int type, int sequence)
        throws IOException {
      message.writeInt(0x80010000 | type);
      string(message, method.getBytes(StandardCharsets.UTF_8));
      message.writeInt(sequence);
    }

    private static void string(DataOutputStream message, byte[] bytes) throws IOException {
      message.writeInt(bytes.length);
      message.write(bytes);
    }

    private void send(byte[] message) throws IOException {
      out.writeInt(message.length);
      out.write(message);
      out.flush();
    }

    private void read() {
      try {
        while (true) {
          byte[] frame = new byte[in.readInt()];
          in.readFully(frame);
          ByteBuffer buffer = ByteBuffer.wrap(frame);
          int type = buffer.getInt() & 0xff;
          byte[] method = new byte[buffer.getInt()];
          buffer.get(method);
          int sequence = buffer.getInt();
          CompletableFuture<Answer> answer = open.remove(sequence);
          if (answer == null) {
            continue;
          }
          if (type == 3) {
            answer.complete(new Answer("failed", null, seconds()));
            continue;
          }
          buffer.get();
          int field = buffer.getShort();
          if (new String(method, StandardCharsets.UTF_8).equals("heartbeat")) {
            answer.complete(new Answer(goodIn(buffer) ? "good" : "bad", null, seconds()));
          } else if (field == 0) {
            answer.complete(new Answer("served", bodyIn(buffer), seconds()));
          } else {
            answer.complete(new Answer(field == 1 ? "refused" : "failed", null, seconds()));
          }
        }
      } catch (IOException | RuntimeException e) {
        ended = true;
        for (CompletableFuture<Answer> answer : open.values()) {
          answer.complete(new Answer("closed", null, seconds()));
        }
        open.clear();
      }
    }

    private static byte[] bodyIn(ByteBuffer struct) {
      for (int type = struct.get(); type != 0; type = struct.get()) {
        int id = struct.getShort();
        if (type == 11) {
          byte[] bytes = new byte[struct.getInt()];
          struct.get(bytes);
          if (id == 1) {
            return bytes;
          }
        } else if (type == 13) {
          struct.getShort();
          for (int n = 2 * struct.getInt(); n > 0; n--) {
            int length = struct.getInt();
            struct.position(struct.position() + length);
          }
        } else {
          struct.get();
        }
      }
      return new byte[0];
    }

    private static boolean goodIn(ByteBuffer struct) {
      boolean good = false;
      for (int type = struct.get(); type != 0; type = struct.get()) {
        struct.getShort();
        if (type == 2) {
          good = struct.get() != 0;
        } else if (type == 11) {
          int length = struct.getInt();
          struct.position(struct.position() + length);
        } else if (type == 13) {
          struct.getShort();
          for (int n = 2 * struct.getInt(); n > 0; n--) {
            int length = struct.getInt();
            struct.position(struct.position() + length);
          }
        }
      }
      return good;
    }

    void close() {
      try {
        socket.close();
      } catch (IOException e) {
        return;
      }
    }
  }

  /** Waits until a router answers heartbeats with good true. */
  static void awaitReady(InetSocketAddress router, Process process) throws IOException {
    double end = seconds() + 30;
    while (seconds() < end) {
      if (!process.isAlive()) {
        throw new IOException("the router ended at its start, exit " + process.exitValue());
      }
      try {
        Client client = new Client(router);
        Answer answer = client.heartbeat().get(1, TimeUnit.SECONDS);
        client.close();
        if (answer.kind().equals("good")) {
          record("router at " + router + " is ready");
          return;
        }
      } catch (IOException | ExecutionException | TimeoutException | InterruptedException e) {
        // not ready yet
      }
      sleep(0.05);
    }
    throw new IOException("the router was not ready within 30 s");
  }

  // ------------------------------------------------------------------ control feed

  /** The control feed: server-sent events, a comment each second. */
  static final class Feed {
    final ServerSocket server = new ServerSocket();
    private final List<String> events = new ArrayList<>();
    private long last;

    Feed(long last) throws IOException {
      this.last = last;
      server.bind(new InetSocketAddress("127.0.0.1", 0));
      daemon(this::accept, "feed").start();
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized void tell(String members) {
      last++;
      events.add("id: " + last + "\ndata: {\"n\":" + last + ",\"members\":" + members + "}\n\n");
      notifyAll();
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = server.accept();
          daemon(() -> serve(socket), "feed connection").start();
        }
      } catch (IOException e) {
        return;
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        socket.setTcpNoDelay(true);
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
        long after = 0;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
          if (line.toLowerCase(Locale.ROOT).startsWith("last-event-id:")) {
            after = Long.parseLong(line.substring(14).trim());
          }
        }
        OutputStream out = socket.getOutputStream();
        out.write(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                .getBytes());
        while (true) {
          StringBuilder text = new StringBuilder();
          synchronized (this) {
            long first = last - events.size() + 1;
            for (long n = Math.max(first, after + 1); n <= last; n++) {
              text.append(events.get((int) (n - first)));
            }
            after = last;
          }
          out.write(text.append(": alive\n\n").toString().getBytes());
          out.flush();
          synchronized (this) {
            if (after == last) {
              wait(1000);
            }
          }
        }
      } catch (IOException | InterruptedException e) {
        return;
      }
    }
  }

  // ------------------------------------------------------------------ model servers

  /** One model server; a subclass may change how it answers. All methods run on one thread. */
  static class Worker {
    final String uid;
    final InetSocketAddress address;

    /** Copies that stand or load, by function; the value is when the load ends, in seconds. */
    final Map<String, Double> copies = new HashMap<>();

    Worker(String uid, InetSocketAddress address) {
      this.uid = uid;
      this.address = address;
    }

    String entry(String state, long bootMillis) {
      return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address.getHostString() + ":"
          + address.getPort() + "\",\"az\":\"east\",\"model\":\"std\",\"pod_group\":1,\"state\":\""
          + state + "\",\"capacity_hint\":4,\"boot_ms\":" + bootMillis + "}";
    }
  }

  /** How the model servers of a farm answer. */
  interface Behaviour {
    void received(Worker worker, Link link, String[] words, byte[] body);
  }

  /** One connection from a router to a model server. */
  static final class Link {
    final SocketChannel channel;
    final Worker worker;
    private ByteBuffer input = ByteBuffer.allocate(4096);

    Link(SocketChannel channel, Worker worker) {
      this.channel = channel;
      this.worker = worker;
    }

    synchronized void answer(String id, String word, String fields, byte[] body) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes("*4\r\n".getBytes());
      for (byte[] part : new byte[][] {id.getBytes(), word.getBytes(), fields.getBytes(), body}) {
        out.writeBytes(("$" + part.length + "\r\n").getBytes());
        out.writeBytes(part);
        out.writeBytes("\r\n".getBytes());
      }
      ByteBuffer bytes = ByteBuffer.wrap(out.toByteArray());
      try {
        while (bytes.hasRemaining()) {
          channel.write(bytes);
        }
      } catch (IOException e) {
        return;
      }
    }
  }

  /** Model servers that one thread serves. */
  static final class Farm {
    final Selector selector = Selector.open();
    final Behaviour behaviour;
    private final Map<Worker, Queue<Channel>> channels = new ConcurrentHashMap<>();
    private final Queue<Worker> ending = new ConcurrentLinkedQueue<>();

    Farm(Behaviour behaviour) throws IOException {
      this.behaviour = behaviour;
    }

    void add(Worker worker) throws IOException {
      ServerSocketChannel server = ServerSocketChannel.open();
      server.bind(worker.address, 128);
      server.configureBlocking(false);
      channels.put(worker, new ConcurrentLinkedQueue<>(List.of(server)));
      server.register(selector, SelectionKey.OP_ACCEPT, worker);
      selector.wakeup();
    }

    /** Ends a model server: its port and its connections are closed. */
    void end(Worker worker) {
      ending.add(worker);
      selector.wakeup();
    }

    private void endWorkers() throws IOException {
      for (Worker worker = ending.poll(); worker != null; worker = ending.poll()) {
        for (Channel channel : channels.remove(worker)) {
          channel.close();
        }
      }
    }

    void start() {
      daemon(this::run, "farm").start();
    }

    private void run() {
      while (true) {
        try {
          selector.select();
          for (SelectionKey key : selector.selectedKeys()) {
            if (key.isAcceptable()) {
              accept((ServerSocketChannel) key.channel(), (Worker) key.attachment());
            } else {
              read(key);
            }
          }
          selector.selectedKeys().clear();
          endWorkers();
        } catch (IOException e) {
          record("farm: " + e);
        }
      }
    }

    private void accept(ServerSocketChannel server, Worker worker) throws IOException {
      SocketChannel channel = server.accept();
      if (channel != null) {
        channel.configureBlocking(false);
        channel.socket().setTcpNoDelay(true);
        channels.get(worker).add(channel);
        channel.register(selector, SelectionKey.OP_READ, new Link(channel, worker));
      }
    }

    private void read(SelectionKey key) throws IOException {
      Link link = (Link) key.attachment();
      try {
        if (!link.input.hasRemaining()) {
          ByteBuffer larger = ByteBuffer.allocate(2 * link.input.capacity());
          link.input.flip();
          larger.put(link.input);
          link.input = larger;
        }
        if (link.channel.read(link.input) < 0) {
          link.channel.close();
          return;
        }
      } catch (IOException e) {
        link.channel.close();
        return;
      }
      link.input.flip();
      while (parse(link)) {}
      link.input.compact();
    }

    private boolean parse(Link link) {
      ByteBuffer in = link.input;
      int start = in.position();
      Integer count = number(in, '*');
      List<byte[]> parts = new ArrayList<>();
      for (int i = 0; count != null && i < count; i++) {
        Integer length = number(in, '$');
        if (length == null || in.remaining() < length + 2) {
          in.position(start);
          return false;
        }
        byte[] part = new byte[length];
        in.get(part);
        in.position(in.position() + 2);
        parts.add(part);
      }
      if (count == null) {
        in.position(start);
        return false;
      }
      String[] words = new String[Math.min(3, parts.size())];
      for (int i = 0; i < words.length; i++) {
        words[i] = new String(parts.get(i), StandardCharsets.ISO_8859_1);
      }
      behaviour.received(link.worker, link, words, parts.size() > 3 ? parts.get(3) : new byte[0]);
      return true;
    }

    private static Integer number(ByteBuffer in, char type) {
      int value = 0;
      for (int i = in.position(); i < in.limit(); i++) {
        byte b = in.get(i);
        if (i == in.position()) {
          if (b != type) {
            throw new IllegalStateException("unexpected byte " + b);
          }
        } else if (b == '\n') {
          in.position(i + 1);
          return value;
        } else if (b != '\r') {
          value = 10 * value + b - '0';
        }
      }
      return null;
    }
  }

  static Map<String, String> fields(String text) {
    Map<String, String> fields = new HashMap<>();
    for (String field : text.split(",")) {
      int at = field.indexOf('=');
      if (at > 0) {
        fields.put(field.substring(0, at), field.substring(at + 1));
      }
    }
    return fields;
  }
}
