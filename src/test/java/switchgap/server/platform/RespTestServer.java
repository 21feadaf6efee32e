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

/** A scripted worker on a plain socket that keeps what came. */
final class RespTestServer implements AutoCloseable {
  /** What came, in words, and on which connection. */
  record Command(int connection, List<String> words) {
    String word() {
      return words.get(0);
    }

    String id() {
      return words.size() > 1 ? words.get(1) : "";
    }
  }

  /** Answers on the raw connection, or not at all; false closes it. */
  interface Behaviour {
    boolean answer(Command command, OutputStream out) throws IOException, InterruptedException;
  }

  final List<Command> received = new CopyOnWriteArrayList<>();
  private final List<Socket> open = new CopyOnWriteArrayList<>();
  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  volatile Behaviour manner;

  RespTestServer(Behaviour behaviour) throws IOException {
    this.manner = behaviour;
    Thread thread =
        new Thread(
            () -> {
              try {
                for (int connection = 0; ; connection++) {
                  Socket socket = listener.accept();
                  int number = connection;
                  socket.setTcpNoDelay(true);
                  open.add(socket);
                  Thread each = new Thread(() -> serve(socket, number));
                  each.setDaemon(true);
                  each.start();
                }
              } catch (IOException e) {
                return; // closed
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket socket, int connection) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        String[] words = new String[(int) number(in, '*')];
        for (int i = 0; i < words.length; i++) {
          words[i] = new String(in.readNBytes((int) number(in, '$')), StandardCharsets.ISO_8859_1);
          in.skipNBytes(2);
        }
        Command command = new Command(connection, List.of(words));
        received.add(command);
        if (!manner.answer(command, socket.getOutputStream())) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      return; // the router closed the connection
    }
  }

  private static long number(InputStream in, char sign) throws IOException {
    int next = in.read();
    if (next < 0) {
      throw new EOFException();
    }
    if (next != sign) {
      throw new IOException("no " + sign);
    }
    long number = 0;
    for (next = in.read(); next != '\r'; next = in.read()) {
      number = number * 10 + next - '0';
    }
    in.read();
    return number;
  }

  static void say(OutputStream out, String... parts) throws IOException {
    StringBuilder reply = new StringBuilder("*" + parts.length + "\r\n");
    for (String part : parts) {
      reply.append('$').append(part.length()).append("\r\n").append(part).append("\r\n");
    }
    out.write(reply.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Serves all: a request's body comes back behind its id. */
  static boolean serveAll(Command command, OutputStream out) throws IOException {
    switch (command.word()) {
      case "DO" ->
          say(
              out,
              command.id(),
              "data",
              "report=load_share:0.1;concurrent:1",
              command.id() + ":" + command.words().get(3));
      case "PIN" -> say(out, command.id(), "data", "count=1", "");
      case "ECHO", "METER" -> say(out, command.id(), "well", "-", "");
      default -> {}
    }
    return true;
  }

  List<Command> commands(String word) {
    return received.stream().filter(command -> command.word().equals(word)).toList();
  }

  String at() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
