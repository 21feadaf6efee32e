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

/** Decodes replies from workers on selector threads and posts them to the event loop. */
final class ReplyReader implements TcpConnection.Listener {
  private static final int EXPECTED_REPLIES_PER_READ = 2;

  private final Consumer<Consumer<RouterCore>> events;
  private final RouterEvents routerEvents;

  /**
   * Creates a reader that can be shared by any number of connections.
   *
   * @param events posts events to the router's event loop
   * @param routerEvents records the reason for which each connection was closed
   */
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
    List<WorkerReply> replies = new ArrayList<>(EXPECTED_REPLIES_PER_READ);
    try {
      connection.decode(bytes, parts -> replies.add(WorkerReply.parse(parts)));
      deliver(connection, replies);
    } catch (MalformedReplyException e) {
      deliver(connection, replies); // The replies before the malformed one are valid.
      tcp.close(new CloseCause(WorkerCloseReason.MALFORMED_REPLY, e.getMessage()));
    }
  }

  private void deliver(RespConnection connection, List<WorkerReply> replies) {
    if (!replies.isEmpty()) {
      RespConnectionPool pool = connection.pool();
      events.accept(core -> replies.forEach(reply -> pool.replyReceived(core, connection, reply)));
    }
  }

  @Override
  public void closed(TcpConnection tcp, CloseCause cause) {
    if (tcp.attachment() instanceof RespConnection connection) {
      WorkerCloseReason reason = WorkerCloseReason.of(cause.reason());
      routerEvents.record(new RouterEvent.WorkerClosed(reason, tcp.id(), cause.toString()));
      events.accept(core -> connection.pool().connectionClosed(core, connection, reason));
    }
  }
}
