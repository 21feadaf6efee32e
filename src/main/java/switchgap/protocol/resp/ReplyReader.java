package switchgap.protocol.resp;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import switchgap.net.CloseCause;
import switchgap.net.TcpConnection;
import switchgap.router.RouterCore;
import switchgap.router.RouterEvent;
import switchgap.router.RouterEvents;

/** Decodes what workers send, on selector threads, and hands the replies to the event loop. */
final class ReplyReader implements TcpConnection.Listener {
  private static final int EXPECTED_REPLIES = 2;

  private final Consumer<Consumer<RouterCore>> events;

  private final RouterEvents routerEvents;

  /** A reader that posts to this event loop, and notes why connections end. */
  ReplyReader(Consumer<Consumer<RouterCore>> events, RouterEvents routerEvents) {
    this.events = events;
    this.routerEvents = routerEvents;
  }

  @Override
  public void opened(TcpConnection tcp) {}

  @Override
  public void received(TcpConnection tcp, ByteBuffer bytes) {
    if (!(tcp.attachment() instanceof RespConnection connection)) {
      tcp.close(WorkerCloseReason.UNEXPECTED_BYTES);
      return;
    }
    List<WorkerReply> replies = new ArrayList<>(EXPECTED_REPLIES);
    String malformed = null;
    try {
      connection.decoder.decode(bytes, parts -> replies.add(WorkerReply.parse(parts)));
    } catch (RespDecoder.MalformedReplyException e) {
      malformed = e.getMessage();
    }
    if (!replies.isEmpty()) { // those before a malformed one still count
      events.accept(
          core -> replies.forEach(reply -> connection.pool.replyReceived(core, connection, reply)));
    }
    if (malformed
        != null) { // where the next reply would begin is not known: nothing more can be read
      tcp.close(new CloseCause(WorkerCloseReason.MALFORMED_REPLY, malformed));
    }
  }

  @Override
  public void closed(TcpConnection tcp, CloseCause cause) {
    if (tcp.attachment() instanceof RespConnection connection) {
      WorkerCloseReason reason = WorkerCloseReason.of(cause.reason());
      routerEvents.record(new RouterEvent.WorkerClosed(reason, tcp.id(), cause.toString()));
      events.accept(core -> connection.pool.connectionClosed(core, connection));
    }
  }
}
