package switchgap.server.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker on a plain socket that does with each request what a test says, and keeps what came. */
public final class HttpTestServer implements AutoCloseable {
    /** What came: the request line, the execution's name, the body, and on which connection. */
    public record ReceivedRequest(String line, String run, String body, int connection) {}

    /** Answers a request on the raw connection; false closes it. */
    public interface Behaviour {
        boolean answer(ReceivedRequest a, OutputStream out) throws IOException, InterruptedException;
    }

    public final List<ReceivedRequest> asked = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();
    private volatile Behaviour manner;

    public HttpTestServer(Behaviour manner) throws IOException { this(0, manner); }

    public HttpTestServer(int port, Behaviour manner) throws IOException {
        this.manner = manner;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new java.net.InetSocketAddress("127.0.0.1", port));
        Thread t = new Thread(this::accept);
        t.setDaemon(true);
        t.start();
    }

    public int port() { return listener.getLocalPort(); }

    public void manner(Behaviour m) { manner = m; }

    /** Executions that came. */
    public long infers() {
        return asked.stream().filter(a -> a.line().contains("/infer")).count();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket s = listener.accept();
                s.setTcpNoDelay(true);
                open.add(s);
                int n = connections.incrementAndGet();
                Thread t = new Thread(() -> serve(s, n));
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s, int n) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            while (true) {
                String line = line(in);
                if (line == null) { return; }
                int length = 0;
                String run = "";
                for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
                    if (h.toLowerCase().startsWith("content-length:")) {
                        length = Integer.parseInt(h.substring(15).trim());
                    }
                    if (h.toLowerCase().startsWith("x-request-id:")) { run = h.substring(13).trim(); }
                }
                ReceivedRequest a = new ReceivedRequest(line, run,
                    new String(in.readNBytes(length), StandardCharsets.UTF_8), n);
                asked.add(a);
                if (!manner.answer(a, s.getOutputStream())) { return; }
                s.getOutputStream().flush();
            }
        } catch (IOException | InterruptedException e) {
            // the router closed its side
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) { return null; }
            if (c != '\r') { s.append((char) c); }
        }
        return s.toString();
    }

    /** An answer as a well-behaved worker writes it. */
    public static byte[] ok(ReceivedRequest a, String body) {
        return http(200, "X-Request-Id: " + a.run() + "\r\n", body);
    }

    public static byte[] http(int status, String headers, String body) {
        return ("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
            + body).getBytes(StandardCharsets.UTF_8);
    }

    public static boolean well(ReceivedRequest a, OutputStream out) throws IOException {
        out.write(ok(a, "{\"echo\":" + (a.body().isEmpty() ? "0" : a.body()) + "}"));
        return true;
    }

    public static boolean silent(ReceivedRequest a, OutputStream out) throws InterruptedException {
        Thread.sleep(20_000);
        return false;
    }

    /** Connections that are open on the router's side too. */
    public long connected() {
        return open.stream().filter(s -> !s.isClosed()).count();
    }

    /** Closes all connections and goes on listening. */
    public void hangUp() throws IOException {
        for (Socket s : open) { s.close(); }
    }

    @Override public void close() throws IOException {
        listener.close();
        for (Socket s : open) { s.close(); }
    }
}
