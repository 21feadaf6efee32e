package switchgap.net;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;

/** A request that has come whole, and the way to answer it once, from any thread. */
public final class HttpExchange {
    private final Connection<?> connection;
    private final HttpRequestPacket head;
    private final HttpResponsePacket response;
    private final AtomicBoolean answered = new AtomicBoolean();
    private final Runnable onAnswer;
    public final String method;
    public final String path;
    public final String query;
    public final byte[] body;
    /** Whatever the desk wants to find again when the asker leaves. */
    public volatile Object attachment;

    HttpExchange(Connection<?> connection, HttpRequestPacket head, byte[] body, Runnable onAnswer) {
        this.connection = connection;
        this.head = head;
        this.response = head.getResponse();
        this.method = head.getMethod().getMethodString();
        this.path = head.getRequestURI();
        this.query = head.getQueryString() == null ? "" : head.getQueryString();
        this.body = body;
        this.onAnswer = onAnswer;
    }

    /** A header's value, or null. */
    public String header(String name) {
        return head.getHeader(name);
    }

    /** The address that the asker's connection comes from. */
    public String peerAddress() {
        return String.valueOf(
            ((java.net.InetSocketAddress) connection.getPeerAddress()).getAddress().getHostAddress());
    }

    /** Distinguishes connections in a log; an address and a port. */
    public String connectionId() {
        java.net.InetSocketAddress a = (java.net.InetSocketAddress) connection.getPeerAddress();
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    /** A word of the query, {@code name=value}, or null. */
    public String queryParameter(String name) {
        for (String part : query.split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return null;
    }

    /** Answers; false when it was answered or dropped before. */
    public boolean respond(int status, Map<String, String> headers, byte[] content) {
        if (!answered.compareAndSet(false, true)) {
            return false;
        }
        onAnswer.run();
        fill(status, headers);
        response.setContentLength(content.length);
        write(content, true);
        return true;
    }

    /** Begins an answer of pieces; false when it was answered or dropped before. */
    public boolean beginStreaming(int status, Map<String, String> headers) {
        if (!answered.compareAndSet(false, true)) {
            return false;
        }
        fill(status, headers);
        response.setChunked(true);
        return true;
    }

    public void sendPart(byte[] content) {
        write(content, false);
    }

    public boolean isOpen() {
        return connection.isOpen();
    }

    /** Closes the connection without an answer. */
    public void drop() {
        answered.set(true);
        connection.closeSilently();
    }

    /** Sends these bytes as they are, beside HTTP, and closes: for stand-ins that misbehave on purpose. */
    public void sendRaw(byte[] bytes, boolean close) {
        if (answered.compareAndSet(false, true)) {
            onAnswer.run();
        }
        Connection<?> c = connection;
        RawBytesFilter.write(c, bytes, close);
    }

    private void fill(int status, Map<String, String> headers) {
        response.setStatus(status);
        headers.forEach((k, v) -> {
            if (k.toLowerCase(Locale.ROOT).equals("content-type")) {
                response.setContentType(v);
            } else {
                response.setHeader(k, v);
            }
        });
    }

    private void write(byte[] content, boolean last) {
        Buffer b = Buffers.wrap(connection.getMemoryManager(), content);
        HttpContent packet = HttpContent.builder(response).content(b).last(last).build();
        @SuppressWarnings({"unchecked", "rawtypes"}) Connection<Object> c = (Connection) connection;
        if (last && !response.getProcessingState().isKeepAlive()) {
            c.write(packet, new org.glassfish.grizzly.EmptyCompletionHandler<>() {
                @Override public void completed(org.glassfish.grizzly.WriteResult r) {
                    connection.closeSilently();
                }
            });
        } else {
            c.write(packet);
        }
    }
}
