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
        String word() { return words.get(0); }

        String id() { return words.size() > 1 ? words.get(1) : ""; }
    }

    /** Answers on the raw connection, or not at all; false closes it. */
    interface Behaviour {
        boolean answer(Command a, OutputStream out) throws IOException, InterruptedException;
    }

    final List<Command> asked = new CopyOnWriteArrayList<>();
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    volatile Behaviour manner;

    RespTestServer(Behaviour manner) throws IOException {
        this.manner = manner;
        Thread t = new Thread(() -> {
            try {
                for (int n = 0;; n++) {
                    Socket s = listener.accept();
                    int number = n;
                    s.setTcpNoDelay(true);
                    open.add(s);
                    Thread each = new Thread(() -> serve(s, number));
                    each.setDaemon(true);
                    each.start();
                }
            } catch (IOException x) {
                return; // closed
            }
        });
        t.setDaemon(true);
        t.start();
    }

    private void serve(Socket s, int n) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            while (true) {
                String[] words = new String[(int) number(in, '*')];
                for (int i = 0; i < words.length; i++) {
                    words[i] = new String(in.readNBytes((int) number(in, '$')), StandardCharsets.ISO_8859_1);
                    in.skipNBytes(2);
                }
                Command a = new Command(n, List.of(words));
                asked.add(a);
                if (!manner.answer(a, s.getOutputStream())) { return; }
            }
        } catch (IOException | InterruptedException x) {
            return; // the router left
        }
    }

    private static long number(InputStream in, char sign) throws IOException {
        int c = in.read();
        if (c < 0) { throw new EOFException(); }
        if (c != sign) { throw new IOException("no " + sign); }
        long n = 0;
        for (c = in.read(); c != '\r'; c = in.read()) { n = n * 10 + c - '0'; }
        in.read();
        return n;
    }

    static void say(OutputStream out, String... parts) throws IOException {
        StringBuilder s = new StringBuilder("*" + parts.length + "\r\n");
        for (String p : parts) { s.append('$').append(p.length()).append("\r\n").append(p).append("\r\n"); }
        out.write(s.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Serves all: a job's body comes back behind its id. */
    static boolean well(Command a, OutputStream out) throws IOException {
        switch (a.word()) {
            case "DO" -> say(out, a.id(), "data", "report=load_share:0.1;concurrent:1",
                a.id() + ":" + a.words().get(3));
            case "PIN" -> say(out, a.id(), "data", "count=1", "");
            case "ECHO", "METER" -> say(out, a.id(), "well", "-", "");
            default -> {}
        }
        return true;
    }

    List<Command> came(String word) { return asked.stream().filter(a -> a.word().equals(word)).toList(); }

    String at() { return "127.0.0.1:" + listener.getLocalPort(); }

    @Override public void close() throws IOException {
        listener.close();
        for (Socket s : open) { s.close(); }
    }
}
